//! Minimal HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, Read, Write},
    net, time,
};

/// Request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case, in order.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message whose body, if any, has a length or is chunked; `None` at the end of the
/// connection.
pub fn read(stream: &mut impl Read, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head = loop {
        if let Some(end) = find(rest, b"\r\n\r\n") {
            let head = rest[..end].to_vec();
            rest.drain(..end + 4);
            break head;
        }
        if !fill(stream, rest)? {
            return match rest.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
    };
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let mut message = Message {
        start: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        loop {
            let line = take_line(stream, rest)?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            take(stream, rest, size, &mut message.body)?;
            take_line(stream, rest)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length
            .parse()
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        take(stream, rest, length, &mut message.body)?;
    }
    Ok(Some(message))
}

/// Sends one request on a new connection and reads the answer; `limit` bounds each step.
pub fn call(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: time::Duration,
) -> io::Result<Message> {
    let mut stream = net::TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method == "POST" || !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let answer = read(&mut stream, &mut Vec::new())?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

fn take_line(stream: &mut impl Read, rest: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(end) = find(rest, b"\r\n") {
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            rest.drain(..end + 2);
            return Ok(line);
        }
        if !fill(stream, rest)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn take(
    stream: &mut impl Read,
    rest: &mut Vec<u8>,
    length: usize,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    while rest.len() < length {
        if !fill(stream, rest)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    body.extend(rest.drain(..length));
    Ok(())
}

fn fill(stream: &mut impl Read, rest: &mut Vec<u8>) -> io::Result<bool> {
    let mut buffer = [0; 16 * 1024];
    let count = stream.read(&mut buffer)?;
    rest.extend_from_slice(&buffer[..count]);
    Ok(count > 0)
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
