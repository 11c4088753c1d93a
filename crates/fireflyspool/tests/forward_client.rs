//! Connections and limits of the client for forwarded requests.

use std::{net, sync, time};

use fireflyspool::{rim, timer};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    sync::mpsc,
};

/// Far above the limit of a response and the buffers of a loopback connection.
const MAX_TAKEN_BYTES: usize = 32 * 1024 * 1024;

/// Longest wait for an expected event, with a margin for a busy machine.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(30);

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

fn client() -> rim::ForwardClient {
    rim::ForwardClient::new(timer::TimerService::start().expect("a thread"))
}

/// Sends a request and reads the response.
async fn fetch(
    client: &rim::ForwardClient,
    address: net::SocketAddr,
) -> Result<bytes::Bytes, rim::ForwardError> {
    let request = http::Request::builder()
        .uri("/a/../b?c=%64")
        .header("host", "h.example")
        .body(http_body_util::Full::default())
        .expect("a request");
    let exchange = async {
        client
            .send(address, request)
            .await?
            .into_body()
            .read()
            .await
    };
    let ended = tokio::time::timeout(WAIT_LIMIT, exchange).await;
    ended.expect("the exchange ends")
}

async fn listen() -> (tokio::net::TcpListener, net::SocketAddr) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Reads one request without a body; `None` if the connection ends.
async fn read_request(stream: &mut tokio::net::TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    String::from_utf8(bytes).ok()
}

/// Starts a server that writes `start` and then `endless` until it cannot; the channel
/// receives the number of bytes.
async fn start_endless_server(
    start: &'static str,
    endless: &'static str,
) -> (net::SocketAddr, mpsc::Receiver<usize>) {
    let (listener, address) = listen().await;
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        let block = endless.repeat(8_192 / endless.len());
        let mut written = start.len();
        let mut open = stream.write_all(start.as_bytes()).await.is_ok();
        while open && written < MAX_TAKEN_BYTES {
            open = stream.write_all(block.as_bytes()).await.is_ok();
            written += block.len();
        }
        sender.send(written).await.expect("a receiver");
    });
    (address, receiver)
}

async fn check_endless(start: &'static str, endless: &'static str) {
    let (address, mut written) = start_endless_server(start, endless).await;
    let fetched = fetch(&client(), address).await;
    assert!(
        fetched.is_err(),
        "{start:?} and {endless:?} are no response"
    );
    let written = tokio::time::timeout(WAIT_LIMIT, written.recv()).await;
    let written = written.expect("the server ends").expect("a number");
    assert!(written < MAX_TAKEN_BYTES, "{endless:?}: {written} bytes");
}

#[tokio::test]
async fn an_endless_head_is_cut() {
    check_endless("HTTP/1.1 200 OK\r\nA: ", "a").await;
    check_endless("HTTP/1.1 200 OK\r\n", "A: b\r\n").await;
    check_endless("HTTP/1.1 200 ", "a").await;
    check_endless("", "a").await;
    check_endless("", "HTTP/1.1 102 Processing\r\n\r\n").await;
}

#[tokio::test]
async fn an_endless_body_is_cut() {
    let length = "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n";
    check_endless(length, "a").await;
    check_endless("HTTP/1.1 200 OK\r\n\r\n", "a").await;
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    check_endless(chunked, "1\r\na\r\n").await;
    check_endless(chunked, "1;a=b\r\na\r\n").await;
    let trailers = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    check_endless(trailers, "A: b\r\n").await;
}

#[tokio::test]
async fn a_response_after_many_others_on_its_connection_is_not_cut() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let body = vec![b'a'; 600 * 1024];
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let mut count = 0;
        while read_request(&mut stream).await.is_some() {
            count += 1;
            stream.write_all(head.as_bytes()).await.expect("a caller");
            stream.write_all(&body).await.expect("a caller");
        }
        count
    });
    let client = client();
    for _ in 0..4 {
        let body = fetch(&client, address).await.expect("a response");
        assert_eq!(body.len(), 600 * 1024);
    }
    drop(client);
    assert_eq!(server.await.expect("the server ends"), 4, "one connection");
}

/// Guards against connections beyond the share of an entry VM that stay open while idle, which
/// other entry VMs then lack.
#[tokio::test]
async fn a_connection_beyond_those_kept_is_closed_after_its_response() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await.expect("a request");
        stream.write_all(RESPONSE).await.expect("a caller");
        read_request(&mut stream).await
    });
    let client = client();
    let request = http::Request::new(http_body_util::Full::default());
    let response = client.send_keeping(address, 0, request).await;
    let body = response.expect("a response").into_body().read().await;
    assert_eq!(body.expect("a body"), "ok");
    let ended = tokio::time::timeout(WAIT_LIMIT, server).await;
    assert_eq!(ended.expect("it is closed").expect("the server ends"), None);
}

#[tokio::test]
async fn the_request_target_arrives_as_it_was_sent() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let request = read_request(&mut stream).await.expect("a request");
        stream.write_all(RESPONSE).await.expect("a caller");
        request
    });
    let fetched = fetch(&client(), address).await;
    assert_eq!(fetched.expect("a response"), "ok");
    let request = server.await.expect("the server ends");
    assert!(
        request.starts_with("GET /a/../b?c=%64 HTTP/1.1\r\n"),
        "{request}"
    );
}

/// Serves connections that end, or get stray bytes, after one response each; returns the
/// number of requests.
async fn serve_once_each(stray: &'static [u8]) -> (net::SocketAddr, sync::Arc<sync::Mutex<usize>>) {
    let (listener, address) = listen().await;
    let count = sync::Arc::new(sync::Mutex::new(0));
    let counted = sync::Arc::clone(&count);
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            if read_request(&mut stream).await.is_some() {
                *counted.lock().expect("not poisoned") += 1;
                stream.write_all(RESPONSE).await.expect("a caller");
            }
            if !stray.is_empty() {
                stream.write_all(stray).await.expect("a caller");
                open.push(stream);
            }
        }
    });
    (address, count)
}

async fn check_serial_requests(stray: &'static [u8]) {
    let (address, count) = serve_once_each(stray).await;
    let client = client();
    for number in 1..=5 {
        let body = fetch(&client, address).await.expect("a response");
        assert_eq!(body, "ok");
        assert_eq!(*count.lock().expect("not poisoned"), number);
        // The end of the connection, or the bytes, arrive before the next request.
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn an_idle_connection_that_was_closed_fails_no_request() {
    check_serial_requests(b"").await;
}

#[tokio::test]
async fn bytes_on_an_idle_connection_answer_no_request() {
    check_serial_requests(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray").await;
}

#[tokio::test]
async fn a_request_that_was_sent_is_not_sent_again() {
    let (listener, address) = listen().await;
    let count = sync::Arc::new(sync::Mutex::new(0));
    let counted = sync::Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            // One response, then the connection ends after each request.
            for number in 0..2 {
                if read_request(&mut stream).await.is_some() {
                    *counted.lock().expect("not poisoned") += 1;
                    if number == 0 {
                        stream.write_all(RESPONSE).await.expect("a caller");
                    }
                }
            }
        }
    });
    let client = client();
    fetch(&client, address).await.expect("a response");
    let failed = fetch(&client, address).await;
    assert!(
        matches!(failed, Err(rim::ForwardError::Broken(_))),
        "{failed:?}"
    );
    assert_eq!(*count.lock().expect("not poisoned"), 2);
}

/// Starts a server that writes `response` to each request and closes the connection.
async fn start_closing_server(response: Vec<u8>) -> net::SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            if read_request(&mut stream).await.is_some() {
                // The client may have closed the connection.
                let _ = stream.write_all(&response).await;
            }
        }
    });
    address
}

/// A server that stopped in the middle of its response gave callers a 200 with an empty or
/// short body.
#[tokio::test]
async fn a_response_that_is_cut_anywhere_is_no_response() {
    let chunked = b"HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n\
        2\r\nok\r\n0\r\n\r\n";
    for whole in [RESPONSE, chunked] {
        for length in 0..whole.len() {
            let address = start_closing_server(whole[..length].to_vec()).await;
            let fetched = fetch(&client(), address).await;
            let cut = String::from_utf8_lossy(&whole[..length]);
            assert!(fetched.is_err(), "{cut:?} gave {fetched:?}");
        }
        let address = start_closing_server(whole.to_vec()).await;
        let fetched = fetch(&client(), address).await;
        assert_eq!(fetched.expect("a response").as_ref(), b"ok");
    }
}

/// An attempt at a server that crashed could not be told from one whose connection was reset.
#[tokio::test]
async fn only_an_address_without_a_listener_is_refused() {
    let (listener, address) = listen().await;
    assert!(!client().is_refused(address, 1).await);
    drop(listener);
    assert!(client().is_refused(address, 1).await);
}
