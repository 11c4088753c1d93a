//! Stand-in searcher, written from the users' page on the protocol.

use std::{
    collections::HashMap,
    io::{self, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, site::Site};

/// One arrival at the searcher.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    /// Whether the searcher was cold.
    pub cold: bool,
}

/// From a start of a searcher to its end.
#[derive(Default)]
struct Life {
    ended: AtomicBool,
    running: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    /// Open connections by the port of the peer.
    connections: Mutex<HashMap<SocketAddr, TcpStream>>,
}

pub struct Searcher {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    slots: usize,
    pub born: AtomicU64,
    pub sequence: AtomicU64,
    /// Milliseconds for which its liveness reports are on their way.
    pub late: AtomicU64,
    cold_until: Mutex<Option<Instant>>,
    /// Requests in a second at which it crashes while it is cold; 0 if it does not.
    pub fragile: AtomicUsize,
    /// Milliseconds for which a request runs.
    pub work: AtomicU64,
    /// Paths of the requests under which it crashes soon after it began to run them.
    pub deadly: Mutex<Vec<&'static str>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Its crashes, each with the path of the request that caused it.
    pub crashes: Mutex<Vec<(Instant, String)>>,
    /// Requests that ran at a crash.
    pub lost: Mutex<Vec<String>>,
    life: Mutex<Arc<Life>>,
}

/// Requests that wait for a slot at most.
const QUEUE: usize = 24;

/// Time between the begin of a request and the crash that it causes.
const FUSE: Duration = Duration::from_millis(10);

/// Time for which a searcher is down after a crash.
const CRASH: Duration = Duration::from_secs(4);

/// Time for which it is cold after its start.
const COLD: Duration = Duration::from_secs(3);

pub fn unix_millis() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time after 1970");
    u64::try_from(now.as_millis()).expect("a time before the far future")
}

impl Searcher {
    /// Starts a searcher and its liveness reports.
    pub fn start(
        site: &Arc<Site>,
        service: &str,
        number: usize,
        zone: &str,
        slots: usize,
    ) -> Arc<Self> {
        let searcher = Self::listen(service, number, zone, slots);
        let (reporting, site) = (Arc::clone(&searcher), Arc::clone(site));
        let phase = Duration::from_millis(397 * number as u64);
        thread::spawn(move || {
            thread::sleep(phase);
            reporting.report_regularly(&site);
        });
        searcher
    }

    /// Starts a server that sends no reports by itself.
    pub fn listen(service: &str, number: usize, zone: &str, slots: usize) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let searcher = Arc::new(Self {
            id: format!("i-{service}-{number}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            born: AtomicU64::new(unix_millis()),
            sequence: AtomicU64::new(0),
            late: AtomicU64::new(0),
            cold_until: Mutex::new(None),
            fragile: AtomicUsize::new(0),
            work: AtomicU64::new(10),
            deadly: Mutex::default(),
            arrivals: Mutex::default(),
            crashes: Mutex::default(),
            lost: Mutex::default(),
            life: Mutex::default(),
        });
        let serving = Arc::clone(&searcher);
        thread::spawn(move || serving.live(listener));
        searcher
    }

    /// Becomes cold for a time, without a restart.
    pub fn turn_cold(&self, length: Duration) {
        *self.cold_until.lock().expect("the time") = Some(Instant::now() + length);
    }

    fn cold_left(&self) -> Duration {
        let until = *self.cold_until.lock().expect("the time");
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    fn life(&self) -> Arc<Life> {
        Arc::clone(&self.life.lock().expect("the life"))
    }

    /// Ends; its connections close, and the work on them is lost.
    fn crash(&self, life: &Life, path: &str) {
        if !life.ended.swap(true, Ordering::SeqCst) {
            let crash = (Instant::now(), path.to_owned());
            self.crashes.lock().expect("the crashes").push(crash);
            for connection in life.connections.lock().expect("the connections").values() {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
    }

    /// Accepts connections, and starts anew after a crash, with its id and at its address.
    fn live(self: &Arc<Self>, first: TcpListener) {
        let mut listener = first;
        loop {
            let life = self.life();
            listener
                .set_nonblocking(true)
                .expect("a listener that does not block");
            while !life.ended.load(Ordering::SeqCst) {
                let Ok((stream, peer)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream
                    .set_nonblocking(false)
                    .expect("a connection that blocks");
                let second = stream.try_clone().expect("a second handle");
                let connections = &life.connections;
                connections
                    .lock()
                    .expect("the connections")
                    .insert(peer, second);
                let (searcher, life) = (Arc::clone(self), Arc::clone(&life));
                thread::spawn(move || {
                    searcher.serve(stream, &life);
                    life.connections
                        .lock()
                        .expect("the connections")
                        .remove(&peer);
                });
            }
            drop(listener);
            thread::sleep(CRASH);
            listener = TcpListener::bind(self.address).expect("the port that it had");
            self.sequence.store(0, Ordering::Relaxed);
            self.born.store(unix_millis(), Ordering::Relaxed);
            self.turn_cold(COLD);
            *self.life.lock().expect("the life") = Arc::default();
        }
    }

    /// Body of a liveness report.
    pub fn body(&self, sequence: u64) -> String {
        format!(
            "{{\"Backend\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Concurrency\":{},\
             \"State\":\"ready\",\"WarmupLeftMs\":{},\"Sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.cold_left().as_millis(),
            self.born.load(Ordering::Relaxed),
        )
    }

    fn report_regularly(&self, site: &Arc<Site>) {
        loop {
            let start = Instant::now();
            if self.life().ended.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let late = Duration::from_millis(self.late.load(Ordering::Relaxed));
            if late.is_zero() {
                self.report(site);
                thread::sleep(Duration::from_millis(1_200).saturating_sub(start.elapsed()));
            } else {
                self.report_late(site, late);
                // A second without an acknowledgement; then it calls the next machine.
                thread::sleep(Duration::from_secs(1));
            }
        }
    }

    /// Sends a liveness report to the control machines in turn until one acknowledges it.
    fn report(&self, site: &Site) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let path = format!("/fireflyspool/Instances.Heartbeat/{}", self.id);
        for turn in 0..site.controls.len() {
            let vm = site.controls[(sequence as usize + turn) % site.controls.len()];
            let address = site.at(vm, site.ports.control);
            let body = self.body(sequence);
            let answer = http::call(
                address,
                "POST",
                &path,
                &[],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| (200..300).contains(&answer.status())) {
                return;
            }
        }
    }

    /// Sends a liveness report that arrives later, as it was when it was sent.
    fn report_late(&self, site: &Arc<Site>, late: Duration) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let (path, body) = (
            format!("/fireflyspool/Instances.Heartbeat/{}", self.id),
            self.body(sequence),
        );
        let vm = site.controls[sequence as usize % site.controls.len()];
        let (address, site, sent) = (
            site.at(vm, site.ports.control),
            Arc::clone(site),
            Instant::now(),
        );
        let (cold, id) = (self.cold_left().as_millis(), self.id.clone());
        thread::spawn(move || {
            thread::sleep(late);
            let answer = http::call(
                address,
                "POST",
                &path,
                &[],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            let status = answer.map_or(0, |answer| answer.status());
            site.keep(
                sent,
                &format!("{id} sends report {sequence} with WarmupLeftMs {cold}"),
            );
            site.keep(
                Instant::now(),
                &format!("{id}: report {sequence} arrives at control-{vm}: {status}"),
            );
        });
    }

    fn serve(&self, mut stream: TcpStream, life: &Life) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            if self.answer(&mut stream, life, &request).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        life: &Life,
        request: &http::Message,
    ) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        if request.word(1) == "/health" {
            let extra = format!(
                "X-Instance-Id: {}\r\nX-Warmup-Ms: {}\r\n",
                self.id,
                self.cold_left().as_millis()
            );
            return write(stream, "200 OK", &id, &extra, b"");
        }
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return write(
                stream,
                "421 Misdirected Request",
                &id,
                "X-Not-Executed: 1\r\n",
                b"",
            );
        }
        let cold = self.cold_left() > Duration::ZERO;
        let full = life.waiting.load(Ordering::Relaxed) >= QUEUE;
        self.arrivals.lock().expect("the arrivals").push(Arrival {
            at: Instant::now(),
            id: id.clone(),
            cold,
        });
        if full {
            return write(stream, "503 Full", &id, "X-Not-Executed: 1\r\n", b"");
        }
        life.waiting.fetch_add(1, Ordering::Relaxed);
        let mut running = life.running.lock().expect("the slots");
        while *running >= self.slots {
            running = life.freed.wait(running).expect("the slots");
        }
        *running += 1;
        drop(running);
        life.waiting.fetch_sub(1, Ordering::Relaxed);
        let path = request.word(1);
        let deadly = self.deadly.lock().expect("the paths").contains(&path);
        if deadly {
            thread::sleep(FUSE);
            self.crash(life, path);
        }
        if cold && self.is_overrun() {
            self.crash(life, path);
        }
        thread::sleep(Duration::from_millis(self.work.load(Ordering::Relaxed)));
        *life.running.lock().expect("the slots") -= 1;
        life.freed.notify_one();
        if life.ended.load(Ordering::SeqCst) {
            self.lost.lock().expect("the lost requests").push(id);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let records: Vec<u8> = (0..5)
            .flat_map(|index| record(&self.service, &id, index))
            .collect();
        let extra = format!(
            "X-Server-Stamp: {}.{id}\r\nX-Server-Load: 1,0,{}\r\n",
            self.service, self.slots
        );
        write(stream, "200 OK", &id, &extra, &records)
    }

    /// Whether more requests came in the last second, all while it was cold, than it bears.
    fn is_overrun(&self) -> bool {
        let fragile = self.fragile.load(Ordering::Relaxed);
        let arrivals = self.arrivals.lock().expect("the arrivals");
        let recent =
            |arrival: &&Arrival| arrival.cold && arrival.at.elapsed() < Duration::from_secs(1);
        fragile > 0 && arrivals.iter().rev().take(200).filter(recent).count() >= fragile
    }
}

/// Record of 16 bytes of a service for a request.
pub fn record(service: &str, id: &str, index: u8) -> [u8; 16] {
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

fn write(
    stream: &mut TcpStream,
    status: &str,
    id: &str,
    extra: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{extra}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
