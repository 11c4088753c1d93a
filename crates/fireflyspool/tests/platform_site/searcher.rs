//! Stand-in backend server that misbehaves in turn.

use std::{
    collections, net,
    sync::{self, atomic},
    time,
};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use super::{PATIENCE, Site};

/// Requests after which each kind of trouble comes again.
const PAUSE_EACH: usize = 11;
const LATE_EACH: usize = 7;
const REJECT_EACH: usize = 13;
const RESET_EACH: usize = 17;

struct Shared {
    service: String,
    server: String,
    trouble: bool,
    count: atomic::AtomicUsize,
    ran: sync::Mutex<collections::BTreeMap<String, usize>>,
    starts: sync::Mutex<Vec<time::Instant>>,
}

/// Backend server of one service.
pub(crate) struct Searcher {
    shared: sync::Arc<Shared>,
    /// Address that heartbeats name.
    pub(crate) address: net::SocketAddr,
    zone: String,
    sequence: u64,
}

/// Record number `index` of a service for a request.
pub(crate) fn record(service: &str, id: &str, index: u8) -> [u8; 16] {
    let mut state: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in service.bytes().chain(id.bytes()).chain([index]) {
        state = (state ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    let mixed = state.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&mixed.to_be_bytes());
    bytes[8..].copy_from_slice(&state.to_be_bytes());
    bytes
}

impl Searcher {
    pub(crate) async fn start(service: &str, number: usize, zone: &str, trouble: bool) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = sync::Arc::new(Shared {
            service: service.to_owned(),
            server: format!("i-{service}-{number}"),
            trouble,
            count: atomic::AtomicUsize::new(number),
            ran: sync::Mutex::default(),
            starts: sync::Mutex::default(),
        });
        let serving = sync::Arc::clone(&shared);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, sync::Arc::clone(&serving)));
            }
        });
        Self {
            shared,
            address,
            zone: zone.to_owned(),
            sequence: 0,
        }
    }

    pub(crate) fn service(&self) -> &str {
        &self.shared.service
    }

    pub(crate) fn zone(&self) -> &str {
        &self.zone
    }

    /// Requests that ran, each with how often.
    pub(crate) fn ran(&self) -> collections::BTreeMap<String, usize> {
        self.shared.ran.lock().expect("no panic under it").clone()
    }

    pub(crate) fn total(&self) -> usize {
        self.ran().values().sum()
    }

    /// When requests began to run.
    pub(crate) fn starts(&self) -> Vec<time::Instant> {
        self.shared
            .starts
            .lock()
            .expect("no panic under it")
            .clone()
    }

    /// Sends a heartbeat to the control VMs in turn until one acknowledges it.
    pub(crate) async fn beat(&mut self, site: &Site, controls: &[u8], state: &str) {
        self.sequence += 1;
        let start = time::Instant::now();
        let mut turn = self.sequence as usize;
        while start.elapsed() < PATIENCE {
            let control = site.control(controls[turn % controls.len()]);
            turn += 1;
            if self.send_beat(&site.http, control, state, 0).await {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(30)).await;
        }
        panic!("no control VM acknowledged a heartbeat");
    }

    /// Sends a new heartbeat once; returns whether it was acknowledged.
    pub(crate) async fn beat_once(
        &mut self,
        http: &reqwest::Client,
        control: net::SocketAddr,
        state: &str,
        cold_ms: u128,
    ) -> bool {
        self.sequence += 1;
        self.send_beat(http, control, state, cold_ms).await
    }

    async fn send_beat(
        &self,
        http: &reqwest::Client,
        control: net::SocketAddr,
        state: &str,
        cold_ms: u128,
    ) -> bool {
        let body = format!(
            r#"{{"Backend":"{}","Address":"{}","Zone":"{}","Version":"v1","Concurrency":2,
            "State":"{state}","WarmupLeftMs":{cold_ms},"Sequence":{},"born":5}}"#,
            self.shared.service, self.address, self.zone, self.sequence
        );
        let path = format!("/fireflyspool/Instances.Heartbeat/{}", self.shared.server);
        let sent = http.post(format!("http://{control}{path}")).body(body);
        let answer = sent.send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}

async fn serve(mut stream: tokio::net::TcpStream, shared: sync::Arc<Shared>) {
    let mut buffer = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            match stream.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let field = |name: &str| {
            let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
            let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
            found.next().map(|(_, value)| value.trim().to_owned())
        };
        let length: usize = field("content-length").map_or(0, |text| text.parse().unwrap_or(0));
        while buffer.len() < end + 4 + length {
            match stream.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        buffer.drain(..end + 4 + length);
        let id = field("x-request-id").unwrap_or_default();
        let expected = field("x-expect-instance");
        if !answer(&mut stream, &shared, &id, expected.as_deref()).await {
            return;
        }
    }
}

/// Answers one request; returns whether the connection stays open.
async fn answer(
    stream: &mut tokio::net::TcpStream,
    shared: &Shared,
    id: &str,
    expected: Option<&str>,
) -> bool {
    let count = shared.count.fetch_add(1, atomic::Ordering::Relaxed);
    let turn = |each: usize| shared.trouble && count % each == each - 1;
    if expected != Some(&shared.server) {
        return write(stream, "421 Misdirected Request", id, "", b"").await;
    }
    if turn(REJECT_EACH) {
        return write(stream, "503 Full", id, "X-Not-Executed: 1\r\n", b"").await;
    }
    *shared
        .ran
        .lock()
        .expect("no panic under it")
        .entry(id.to_owned())
        .or_default() += 1;
    let starts = &shared.starts;
    starts
        .lock()
        .expect("no panic under it")
        .push(time::Instant::now());
    if turn(RESET_EACH) {
        return false;
    }
    if turn(PAUSE_EACH) {
        tokio::time::sleep(time::Duration::from_millis(150)).await;
    }
    let records: Vec<u8> = (0..5)
        .flat_map(|index| record(&shared.service, id, index))
        .collect();
    let extra = format!(
        "X-Server-Stamp: {}.{id}\r\nX-Server-Load: 1,0,2\r\n",
        shared.service
    );
    if !write(stream, "200 OK", id, &extra, &records).await {
        return false;
    }
    if turn(LATE_EACH) {
        tokio::time::sleep(time::Duration::from_millis(2)).await;
        return write(stream, "200 OK", "late", &extra, b"belongs to no request").await;
    }
    true
}

async fn write(
    stream: &mut tokio::net::TcpStream,
    status: &str,
    id: &str,
    extra: &str,
    body: &[u8],
) -> bool {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{extra}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await.is_ok()
}
