//! Stand-in backend servers.

use std::{
    io::{self, Write as _},
    net,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread, time,
};

use crate::{http, record, site};

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: time::Instant,
    pub server: String,
    pub zone: String,
    pub id: String,
    pub path: String,
}

/// Requests under which a server crashes: its process is gone for some seconds.
#[derive(Clone, Copy, Debug)]
pub struct Crashing {
    /// Part of the path that these requests have in common.
    pub path: &'static str,
    /// Whether the server crashes while it answers, not before.
    pub midway: bool,
}

/// What a server does with a request that it has read.
enum Reply {
    Answer(Vec<u8>),
    /// It crashes after these bytes.
    Crash(Vec<u8>),
}

/// Time for which a crashed server is down.
const CRASH_TIME: time::Duration = time::Duration::from_secs(2);

/// Time for which a request runs.
const WORK: time::Duration = time::Duration::from_millis(3);

/// Backend server of one service.
pub struct Server {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: net::SocketAddr,
    site: site::Site,
    record: record::Record,
    sequence: AtomicU64,
    born: AtomicU64,
    /// Whether it sends liveness reports.
    pub reports: AtomicBool,
    pub draining: AtomicBool,
    up: AtomicBool,
    /// Grows with each crash, so that the threads of earlier connections end.
    life: AtomicU64,
    pub runs: Mutex<Vec<Run>>,
    crash_on: Option<Crashing>,
}

/// Unix milliseconds.
pub fn unix_millis() -> u64 {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Server {
    /// Starts server `number`, which reports to the control VMs.
    pub fn start(
        site: &site::Site,
        record: &record::Record,
        number: u8,
        (service, zone): (&str, &str),
        crash_on: Option<Crashing>,
    ) -> io::Result<Arc<Self>> {
        let server = Self::create(site, record, number, (service, zone), crash_on)?;
        let reporting = Arc::clone(&server);
        thread::spawn(move || {
            loop {
                if reporting.reports.load(Ordering::Relaxed) && reporting.up.load(Ordering::Relaxed)
                {
                    reporting.report();
                }
                thread::sleep(site::HEARTBEAT);
            }
        });
        Ok(server)
    }

    /// Starts server `number`, which sends no reports by itself.
    pub fn create(
        site: &site::Site,
        record: &record::Record,
        number: u8,
        (service, zone): (&str, &str),
        crash_on: Option<Crashing>,
    ) -> io::Result<Arc<Self>> {
        let address = site.server(number);
        let server = Arc::new(Self {
            name: format!("i-{service}-{number}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            site: site.clone(),
            record: record.clone(),
            sequence: AtomicU64::new(0),
            born: AtomicU64::new(unix_millis()),
            reports: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            up: AtomicBool::new(true),
            life: AtomicU64::new(0),
            runs: Mutex::default(),
            crash_on,
        });
        let listener = net::TcpListener::bind(address)?;
        let listening = Arc::clone(&server);
        thread::spawn(move || listening.listen(listener));
        Ok(server)
    }

    /// Delivers a liveness report, made earlier, to a control VM.
    pub fn deliver(&self, report: &str, vm: u8) -> io::Result<()> {
        let path = format!("/fireflyspool/Instances.Heartbeat/{}", self.name);
        let headers = [("Content-Type", "application/json")];
        let second = time::Duration::from_secs(1);
        let address = self.site.control(vm);
        let answer = http::call(address, "POST", &path, &headers, report.as_bytes(), second)?;
        self.record.note(format!(
            "VM {vm} answers a report of {}: {}",
            self.name,
            answer.status()
        ));
        Ok(())
    }

    /// Body of the next liveness report.
    pub fn next_report(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = match self.draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        format!(
            "{{\"Backend\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Concurrency\":4,\"State\":\"{state}\",\"WarmupLeftMs\":0,\"Sequence\":{sequence},\
             \"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.born.load(Ordering::Relaxed)
        )
    }

    /// Sends a liveness report to one control VM after the other until one acknowledges it;
    /// returns the VM.
    pub fn report(&self) -> Option<u8> {
        let body = self.next_report();
        let path = format!("/fireflyspool/Instances.Heartbeat/{}", self.name);
        self.post(&path, &body)
    }

    /// Says that it leaves, without having reported `draining`; returns the VM that
    /// acknowledged it.
    pub fn deregister(&self) -> Option<u8> {
        let body = format!("{{\"born\":{}}}", self.born.load(Ordering::Relaxed));
        let path = format!("/fireflyspool/Instances.Deregister/{}", self.name);
        self.post(&path, &body)
    }

    fn post(&self, path: &str, body: &str) -> Option<u8> {
        let controls = self.site.controls();
        let first =
            self.sequence.load(Ordering::Relaxed) as usize + usize::from(self.address.port());
        let first = first + self.name.len() + self.name.bytes().map(usize::from).sum::<usize>();
        for turn in 0..controls.len() {
            let vm = controls[(first + turn) % controls.len()];
            let second = time::Duration::from_secs(1);
            let headers = [("Content-Type", "application/json")];
            let answer = http::call(
                self.site.control(vm),
                "POST",
                path,
                &headers,
                body.as_bytes(),
                second,
            );
            if answer.is_ok_and(|answer| (200..300).contains(&answer.status())) {
                return Some(vm);
            }
        }
        None
    }

    /// Ids that it began to run, with the time of each.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("the lock is not poisoned").clone()
    }

    fn listen(self: Arc<Self>, listener: net::TcpListener) {
        let mut listener = Some(listener);
        loop {
            if !self.up.load(Ordering::Relaxed) {
                // Connections are refused while it is down.
                drop(listener.take());
                thread::sleep(CRASH_TIME);
                self.born.store(unix_millis(), Ordering::Relaxed);
                self.sequence.store(0, Ordering::Relaxed);
                self.up.store(true, Ordering::Relaxed);
            }
            if listener.is_none() {
                listener = net::TcpListener::bind(self.address).ok();
            }
            let Some(open) = &listener else {
                thread::sleep(time::Duration::from_millis(20));
                continue;
            };
            if open.set_nonblocking(true).is_err() {
                return;
            }
            match open.accept() {
                Ok((stream, _)) => {
                    let server = Arc::clone(&self);
                    let life = self.life.load(Ordering::Relaxed);
                    thread::spawn(move || server.serve(stream, life));
                }
                Err(_) => thread::sleep(time::Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut stream: net::TcpStream, life: u64) {
        // Errors end the connection, as they would in a real server.
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(time::Duration::from_millis(50)));
        let mut rest = Vec::new();
        loop {
            let message = match http::read(&mut stream, &mut rest) {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(error) if is_timeout(&error) => {
                    if self.life.load(Ordering::Relaxed) != life {
                        return;
                    }
                    continue;
                }
                Err(_) => return,
            };
            if self.life.load(Ordering::Relaxed) != life {
                return;
            }
            match self.answer(&message) {
                Reply::Answer(answer) if stream.write_all(&answer).is_ok() => {}
                Reply::Answer(_) => return,
                Reply::Crash(bytes) => {
                    // The connection may have been closed by the caller.
                    let _ = stream.write_all(&bytes);
                    thread::sleep(WORK);
                    self.crash();
                    return;
                }
            }
        }
    }

    fn crash(&self) {
        self.record.note(format!("{} crashes", self.name));
        self.life.fetch_add(1, Ordering::Relaxed);
        self.up.store(false, Ordering::Relaxed);
        // The listener is closed before the connections are.
        thread::sleep(time::Duration::from_millis(10));
    }

    /// Reply to a request.
    fn answer(&self, message: &http::Message) -> Reply {
        let path = message.start.split(' ').nth(1).unwrap_or_default();
        if path == "/health" {
            let status = match self.draining.load(Ordering::Relaxed) {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            return Reply::Answer(response(
                status,
                &format!("X-Instance-Id: {}\r\n", self.name),
                b"",
            ));
        }
        let Some(id) = message.header("x-request-id") else {
            return Reply::Answer(response("400 Bad Request", "X-Not-Executed: 1\r\n", b""));
        };
        let expected = message.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.name) {
            let extra = format!("X-Request-Id: {id}\r\nX-Not-Executed: 1\r\n");
            return Reply::Answer(response("421 Misdirected Request", &extra, b""));
        }
        let run = Run {
            at: time::Instant::now(),
            server: self.name.clone(),
            zone: self.zone.clone(),
            id: id.to_owned(),
            path: path.to_owned(),
        };
        self.record.note(format!(
            "run {id} {path} at {} zone {}",
            self.name, self.zone
        ));
        self.runs
            .lock()
            .expect("the lock is not poisoned")
            .push(run);
        let stamp = format!("{}.{id}", self.service);
        let extra =
            format!("X-Request-Id: {id}\r\nX-Server-Stamp: {stamp}\r\nX-Server-Load: 1,0,4\r\n");
        if let Some(crashing) = self
            .crash_on
            .filter(|crashing| path.contains(crashing.path))
        {
            let whole = response("200 OK", &extra, &[b'.'; 4_000]);
            return Reply::Crash(match crashing.midway {
                true => whole[..whole.len() / 2].to_vec(),
                false => Vec::new(),
            });
        }
        thread::sleep(WORK);
        let body = format!("{id} at {}", self.name);
        Reply::Answer(response("200 OK", &extra, body.as_bytes()))
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

fn response(status: &str, extra: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
