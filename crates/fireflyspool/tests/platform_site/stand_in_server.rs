//! Stand-in backend server that injects faults at fixed periods.

use std::{
    collections, future, net,
    sync::{self, atomic},
    time,
};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use super::{Identity, Site, StatedNotices, WAIT_LIMIT, crashes};

/// Number of requests after which each kind of fault repeats.
const PAUSE_PERIOD: usize = 11;
const STRAY_ANSWER_PERIOD: usize = 7;
const REJECT_PERIOD: usize = 13;
const CLOSE_PERIOD: usize = 17;

/// Part of the path of a request that takes [`SLOW_TIME`].
pub(crate) const SLOW_MARKER: &str = "slow";
const SLOW_TIME: time::Duration = time::Duration::from_millis(90);

/// State of a server that its connections share.
struct ServerState {
    service: String,
    server: String,
    inject_faults: bool,
    count: atomic::AtomicUsize,
    executions: sync::Mutex<collections::BTreeMap<String, usize>>,
    starts: sync::Mutex<Vec<time::Instant>>,
    /// Identities of the requests that carried any.
    identities: sync::Mutex<Vec<Identity>>,
    silent: atomic::AtomicBool,
    notices: StatedNotices,
    crashes: crashes::Crashes,
    born: atomic::AtomicU64,
    /// Whether requests fail after they were run.
    failing: atomic::AtomicBool,
}

/// Backend server of one service on a loopback port of its own.
pub(crate) struct StandInServer {
    shared: sync::Arc<ServerState>,
    /// Address that heartbeats report; the soak sets it to a relay.
    pub(crate) address: net::SocketAddr,
    zone: String,
    /// Version that heartbeats report.
    pub(crate) version: &'static str,
    task: tokio::task::JoinHandle<()>,
    sequence: u64,
}

/// Record number `index` that a service returns for request `id`.
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

impl StandInServer {
    pub(crate) async fn start(
        service: &str,
        number: usize,
        zone: &str,
        inject_faults: bool,
    ) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = sync::Arc::new(ServerState {
            service: service.to_owned(),
            server: format!("i-{service}-{number}"),
            inject_faults,
            count: atomic::AtomicUsize::new(number),
            executions: sync::Mutex::default(),
            starts: sync::Mutex::default(),
            identities: sync::Mutex::default(),
            silent: atomic::AtomicBool::default(),
            notices: StatedNotices::default(),
            crashes: crashes::Crashes::default(),
            born: atomic::AtomicU64::new(5),
            failing: atomic::AtomicBool::default(),
        });
        let task = tokio::spawn(run(listener, address, sync::Arc::clone(&shared)));
        Self {
            shared,
            address,
            zone: zone.to_owned(),
            version: "v1",
            task,
            sequence: 0,
        }
    }

    pub(crate) fn service(&self) -> &str {
        &self.shared.service
    }

    pub(crate) fn zone(&self) -> &str {
        &self.zone
    }

    /// Executions of each request, by request id.
    pub(crate) fn executions(&self) -> collections::BTreeMap<String, usize> {
        self.shared
            .executions
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }

    /// What the server states about itself in its answers.
    pub(crate) fn notices(&self) -> &StatedNotices {
        &self.shared.notices
    }

    /// What makes the server crash, and when it did.
    pub(crate) fn crashes(&self) -> &crashes::Crashes {
        &self.shared.crashes
    }

    /// Has the server read requests and never answer them.
    pub(crate) fn be_silent(&self) {
        self.shared.silent.store(true, atomic::Ordering::Relaxed);
    }

    /// Has requests fail after they were run, or no longer.
    pub(crate) fn set_failing(&self, failing: bool) {
        self.shared
            .failing
            .store(failing, atomic::Ordering::Relaxed);
    }

    /// Ends the server at once, with all its connections.
    pub(crate) fn stop(&self) {
        self.task.abort();
    }

    /// Starts a new incarnation under the same name and address.
    pub(crate) fn restart(&mut self) {
        self.shared.born.fetch_add(1, atomic::Ordering::Relaxed);
        self.sequence = 0;
        self.shared.notices.clear();
    }

    pub(crate) fn total(&self) -> usize {
        self.executions().values().sum()
    }

    /// Identities of the requests that carried any, in order.
    pub(crate) fn identities(&self) -> Vec<Identity> {
        let identities = self.shared.identities.lock();
        identities.expect("the lock is not poisoned").clone()
    }

    /// Times at which requests began to run, in order.
    pub(crate) fn starts(&self) -> Vec<time::Instant> {
        self.shared
            .starts
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }

    /// Sends a heartbeat to the control VMs in turn until one acknowledges it.
    pub(crate) async fn send_heartbeat(&mut self, site: &Site, controls: &[u8], state: &str) {
        self.sequence += 1;
        let start = time::Instant::now();
        let mut attempt = self.sequence as usize;
        while !self.shared.crashes.is_down() && start.elapsed() < WAIT_LIMIT {
            let control = site.control(controls[attempt % controls.len()]);
            attempt += 1;
            if self.post_heartbeat(&site.http, control, state, 0).await {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(30)).await;
        }
        assert!(
            self.shared.crashes.is_down(),
            "no control VM acknowledged a heartbeat in {WAIT_LIMIT:?}"
        );
    }

    /// Tells one control VM that this incarnation has left; returns whether that was
    /// acknowledged.
    pub(crate) async fn deregister(
        &self,
        http: &reqwest::Client,
        control: net::SocketAddr,
    ) -> bool {
        let born = self.shared.born.load(atomic::Ordering::Relaxed);
        let path = format!("/fireflyspool/Instances.Deregister/{}", self.shared.server);
        let sent = http.post(format!("http://{control}{path}"));
        let answer = sent.body(format!(r#"{{"born":{born}}}"#)).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Body of the next heartbeat, for a delivery that is delayed.
    pub(crate) fn delayed_heartbeat(&mut self, state: &str) -> String {
        self.sequence += 1;
        self.heartbeat_body(state, 0)
    }

    /// Sends the body of a heartbeat to one control VM; returns whether it was acknowledged.
    pub(crate) async fn deliver(
        &self,
        http: &reqwest::Client,
        control: net::SocketAddr,
        body: String,
    ) -> bool {
        let path = format!("/fireflyspool/Instances.Heartbeat/{}", self.shared.server);
        let sent = http.post(format!("http://{control}{path}")).body(body);
        let answer = sent.send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Sends a new heartbeat to one control VM; returns whether it was acknowledged.
    pub(crate) async fn send_heartbeat_once(
        &mut self,
        http: &reqwest::Client,
        control: net::SocketAddr,
        state: &str,
        cold_ms: u128,
    ) -> bool {
        self.sequence += 1;
        self.post_heartbeat(http, control, state, cold_ms).await
    }

    async fn post_heartbeat(
        &self,
        http: &reqwest::Client,
        control: net::SocketAddr,
        state: &str,
        cold_ms: u128,
    ) -> bool {
        let body = self.heartbeat_body(state, cold_ms);
        self.deliver(http, control, body).await
    }

    fn heartbeat_body(&self, state: &str, cold_ms: u128) -> String {
        format!(
            r#"{{"Backend":"{}","Address":"{}","Zone":"{}","Version":"{}","Concurrency":2,
            "State":"{state}","WarmupLeftMs":{cold_ms},"Sequence":{},"born":{}}}"#,
            self.shared.service,
            self.address,
            self.zone,
            self.version,
            self.sequence,
            self.shared.born.load(atomic::Ordering::Relaxed)
        )
    }
}

/// Serves connections, and starts a new incarnation after each crash.
async fn run(
    mut listener: tokio::net::TcpListener,
    address: net::SocketAddr,
    shared: sync::Arc<ServerState>,
) {
    loop {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, sync::Arc::clone(&shared)));
                },
                () = shared.crashes.crashed() => break,
            }
        }
        drop((listener, connections));
        tokio::time::sleep(crashes::RESTART_TIME).await;
        listener = tokio::net::TcpListener::bind(address)
            .await
            .expect("the port is still free");
        shared.born.fetch_add(1, atomic::Ordering::Relaxed);
        shared.crashes.restarted();
    }
}

/// Answers requests on one connection until either side closes it.
async fn serve(mut stream: tokio::net::TcpStream, shared: sync::Arc<ServerState>) {
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
        let identity = Identity {
            id: id.clone(),
            account: field("x-tenant-id"),
            credentials: field("authorization"),
        };
        if identity.account.is_some() || identity.credentials.is_some() {
            let mut identities = shared.identities.lock().expect("the lock is not poisoned");
            identities.push(identity);
        }
        let expected = field("x-expect-instance");
        let path = head.split(' ').nth(1).unwrap_or_default();
        if !answer(&mut stream, &shared, (path, &id), expected.as_deref()).await {
            return;
        }
    }
}

/// Answers one request; returns whether the connection stays open.
async fn answer(
    stream: &mut tokio::net::TcpStream,
    shared: &ServerState,
    (path, id): (&str, &str),
    expected: Option<&str>,
) -> bool {
    let count = shared.count.fetch_add(1, atomic::Ordering::Relaxed);
    let due = |period: usize| shared.inject_faults && count % period == period - 1;
    if expected != Some(&shared.server) {
        return write(stream, "421 Misdirected Request", id, "", b"").await;
    }
    if let Some(left) = shared.notices.pause_left(id) {
        let extra = format!(
            "X-Not-Executed: 1\r\nRetry-After: {:.3}\r\n",
            // A pause that is rounded down would end before the server accepts requests.
            (left + time::Duration::from_micros(500)).as_secs_f64()
        );
        return write(stream, "503 Paused", id, &extra, b"").await;
    }
    if due(REJECT_PERIOD) {
        return write(stream, "503 Full", id, "X-Not-Executed: 1\r\n", b"").await;
    }
    *shared
        .executions
        .lock()
        .expect("the lock is not poisoned")
        .entry(id.to_owned())
        .or_default() += 1;
    let starts = &shared.starts;
    starts
        .lock()
        .expect("the lock is not poisoned")
        .push(time::Instant::now());
    if shared.crashes.is_midway(path) {
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n";
        // The caller may have closed the connection; the server crashes all the same.
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&[b'.'; 2_000]).await;
    }
    if path.contains(SLOW_MARKER) {
        tokio::time::sleep(SLOW_TIME).await;
    }
    if shared.crashes.begin(path, id).await {
        return future::pending().await;
    }
    if shared.silent.load(atomic::Ordering::Relaxed) {
        return future::pending().await;
    }
    if shared.failing.load(atomic::Ordering::Relaxed) {
        return write(stream, "500 Failed", id, "", b"").await;
    }
    if due(CLOSE_PERIOD) {
        return false;
    }
    if due(PAUSE_PERIOD) {
        tokio::time::sleep(time::Duration::from_millis(150)).await;
    }
    let records: Vec<u8> = (0..5)
        .flat_map(|index| record(&shared.service, id, index))
        .collect();
    let extra = format!(
        "X-Server-Stamp: {}.{id}\r\nX-Server-Load: 1,0,2\r\n{}",
        shared.service,
        shared.notices.leaving_header()
    );
    if !write(stream, "200 OK", id, &extra, &records).await {
        return false;
    }
    if due(STRAY_ANSWER_PERIOD) {
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
