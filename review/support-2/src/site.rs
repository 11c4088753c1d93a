//! A small site on loopback: the project's own processes, an operator and the folder of a case.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

use crate::searcher::Arrivals;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// Why a case could not run.
pub type Failure = String;

/// Lines with the time since the start, written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let millis = self.start.elapsed().as_millis();
        let line = format!("{:>7} ms  {}\n", millis, text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// Settings that a case chooses.
#[derive(Clone)]
pub struct Options {
    pub heartbeat_ms: u64,
    pub memory_mb: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            heartbeat_ms: 1_200,
            memory_mb: 182,
        }
    }
}

/// Addresses, ports and folder of the processes of one case.
pub struct Site {
    pub record: Record,
    pub trouble: bool,
    pub folder: PathBuf,
    pub options: Options,
    binary: PathBuf,
    ports: [u16; 4],
    network: [u8; 2],
    processes: Arc<Mutex<Vec<Arc<Mutex<Child>>>>>,
}

/// A process of the project.
#[derive(Clone)]
pub struct Process {
    child: Arc<Mutex<Child>>,
    pub pid: i32,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        // The child is not waited for before its last signal, so the id is still its own.
        unsafe { kill(self.pid, signal) };
    }

    /// Kills the process and waits for its end.
    pub fn end(&self) {
        self.signal(SIGKILL);
        let _ = self.child.lock().unwrap().wait();
    }
}

impl Site {
    /// `root` is the checkout, `record` the file that the case writes.
    pub fn new(root: &str, record: &str) -> Result<Self, Failure> {
        let binary = PathBuf::from(root).join("target/release/fireflyspool");
        if !binary.exists() {
            return Err("target/release/fireflyspool is not built".to_owned());
        }
        let file = fs::File::create(record).map_err(|error| format!("record: {error}"))?;
        let pid = std::process::id();
        let folder = env::temp_dir().join(format!("fireflyspool-review-{pid}"));
        fs::create_dir_all(&folder).map_err(|error| format!("folder: {error}"))?;
        // All are held until the last one is drawn.
        let listeners: Vec<_> = (0..4)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let mut ports = [0; 4];
        for (port, listener) in ports.iter_mut().zip(&listeners) {
            *port = listener.local_addr().unwrap().port();
        }
        let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        };
        record.line(format!("trouble: {}", if trouble { "yes" } else { "no" }));
        Ok(Self {
            record,
            trouble,
            folder,
            options: Options::default(),
            binary,
            ports,
            network: [(pid >> 8) as u8 % 200 + 20, pid as u8],
            processes: Arc::default(),
        })
    }

    pub fn ip(&self, vm: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network[0], self.network[1], vm))
    }

    pub fn address(&self, vm: u8, port: usize) -> SocketAddr {
        SocketAddr::new(self.ip(vm), self.ports[port])
    }

    /// Address for operators and searchers of a control VM.
    pub fn control(&self, vm: u8) -> SocketAddr {
        self.address(vm, 1)
    }

    /// Address for clients of an entry VM.
    pub fn front(&self, vm: u8) -> SocketAddr {
        self.address(vm, 1)
    }

    pub fn data(&self, vm: u8) -> PathBuf {
        self.folder.join(format!("data-{vm}"))
    }

    /// Writes the settings of a process and starts it; VMs 1 to 3 are the seeds.
    pub fn start(&self, vm: u8, role: &str, zone: &str, bootstrap: bool) -> Process {
        let (ip, ports) = (self.ip(vm), self.ports);
        let seeds: Vec<_> = (1..=3)
            .map(|seed| format!("\"{}\"", self.control(seed)))
            .collect();
        let addresses = match role {
            "control" => format!(
                "Control = \"{ip}:{}\"\ndirectory = \"{ip}:{}\"",
                ports[1], ports[2]
            ),
            _ => format!(
                "Frontend = \"{ip}:{}\"\nReady = \"{ip}:{}\"",
                ports[1], ports[2]
            ),
        };
        let class = if role == "control" { "core" } else { "edge" };
        let data = match role {
            "control" => {
                fs::create_dir_all(self.data(vm)).unwrap();
                format!("DataDir = \"{}\"\n", self.data(vm).display())
            }
            _ => String::new(),
        };
        let memory = if role == "control" {
            256
        } else {
            self.options.memory_mb
        };
        // Two internal ports, so that the last one (metrics) is free as well.
        let text = format!(
            "NodeName = \"{class}-{vm}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\n\
             Ip = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"r\"\n\
             InternalPortRange = [{},{}]\nSeeds = [{}]\nBootstrap = {bootstrap}\n\
             InFaultDomain = {}\nDiscovery = \"registration\"\nEntryMode = \"directory\"\n\
             HeartbeatMs = {}\n{data}\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\"]\n\
             config_mode = \"highest\"\n[Zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n\
             [ListenAddrs]\n{addresses}\n[Limits]\nMemoryMb = {memory}\nMaxFds = 2870\n\
             [FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 4000\nAckMs = 5000\nCatchupS = 4\n\
             DrainMs = 3000\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 3000\n\
             RollbackSlackMs = 250\nMaxStretchMs = 12000\nRetryBudgetRatio = 0.2\nRetryWindowS = 10\n\
             BudgetSlack = 116\nWarmupOvershoot = 1.5\nWarmupSlack = 5\nEvacuateMs = 5000\n\
             RecoveryS = 12\nttl_max_s = 5\n",
            ports[0],
            ports[3],
            seeds.join(","),
            role == "control",
            self.options.heartbeat_ms,
        );
        let path = self.folder.join(format!("{class}-{vm}.toml"));
        fs::write(&path, text).unwrap();
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{class}-{vm}.log")))
            .unwrap();
        let mut command = Command::new(&self.binary);
        // No process outlives this one, whatever ends it.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .args(["platform", role])
            .env("FIREFLYSPOOL_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let pid = child.id() as i32;
        let child = Arc::new(Mutex::new(child));
        self.processes.lock().unwrap().push(Arc::clone(&child));
        self.record.line(format!(
            "started {role} {vm}, zone {zone}, bootstrap {bootstrap}"
        ));
        Process { child, pid }
    }

    /// Sends an order to the control VMs in turn, as the operator's API says, until one
    /// answers it or `limit` is over. Returns the status of the final answer.
    pub fn order(
        &self,
        controls: &[u8],
        (method, path): (&str, &str),
        body: &str,
        limit: Duration,
    ) -> Option<(u16, String)> {
        let start = Instant::now();
        let mut attempt = 0;
        while start.elapsed() < limit {
            let vm = controls[attempt % controls.len()];
            attempt += 1;
            let sent = request(
                self.control(vm),
                method,
                path,
                &[],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            match sent {
                Ok(answer)
                    if answer.status < 500 && answer.status != 408 && answer.status != 429 =>
                {
                    self.record.line(format!(
                        "order {method} {path}: {} by control {vm}",
                        answer.status
                    ));
                    return Some((
                        answer.status,
                        String::from_utf8_lossy(&answer.body).into_owned(),
                    ));
                }
                Ok(answer) => {
                    self.record.line(format!(
                        "order {method} {path}: {} by control {vm}, again",
                        answer.status
                    ));
                }
                Err(error) => {
                    self.record.line(format!(
                        "order {method} {path}: no answer of control {vm} ({error}), again"
                    ));
                }
            }
            thread::sleep(Duration::from_millis(100 * (attempt as u64).min(10)));
        }
        self.record
            .line(format!("order {method} {path}: given up after {limit:?}"));
        None
    }

    /// Addresses that the directory names for a zone.
    pub fn resolve(&self, vm: u8, zone: &str) -> Vec<SocketAddr> {
        let path = format!("/fireflyspool/resolve?Name=h.example&Region=r&Zone={zone}");
        let answer = request(
            self.address(vm, 2),
            "GET",
            &path,
            &[],
            b"",
            Duration::from_secs(1),
        );
        let Ok(answer) = answer else {
            return Vec::new();
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        text.split('"')
            .filter_map(|part| part.parse().ok())
            .collect()
    }

    /// Waits until the directory of a control VM names `count` entry VMs for a zone.
    pub fn await_directory(&self, vm: u8, zone: &str, count: usize) -> Result<(), Failure> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(20) {
            if self.resolve(vm, zone).len() >= count {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the directory does not name the entry VMs".to_owned())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.processes.lock().unwrap().iter() {
            let mut child = child.lock().unwrap();
            let _ = child.kill();
            let _ = child.wait();
        }
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// An HTTP answer.
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        field(&self.head, name)
    }
}

/// Value of a header field of a head.
pub fn field(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(key, _)| key.trim().eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim().to_owned())
}

/// Sends one request on a new connection and reads the answer.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Answer, String> {
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))
        .map_err(|error| format!("connect: {error}"))?;
    send(&stream, address, method, path, headers, body)
        .map_err(|error| format!("send: {error}"))?;
    receive(&stream, &mut Vec::new(), Instant::now() + limit)
}

/// Writes a request on a connection.
pub fn send(
    mut stream: &TcpStream,
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Reads an answer with a length, or one that ends with its connection.
pub fn receive(
    mut stream: &TcpStream,
    buffer: &mut Vec<u8>,
    deadline: Instant,
) -> Result<Answer, String> {
    let mut read = |buffer: &mut Vec<u8>| -> Result<usize, String> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no answer in time".to_owned());
        }
        let _ = stream.set_read_timeout(Some(left));
        let mut chunk = [0; 16 * 1024];
        match stream.read(&mut chunk) {
            Ok(count) => {
                buffer.extend_from_slice(&chunk[..count]);
                Ok(count)
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                Err("no answer in time".to_owned())
            }
            Err(error) => Err(format!("connection broke: {error}")),
        }
    };
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end + 4;
        }
        if read(buffer)? == 0 {
            return Err("connection closed without an answer".to_owned());
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status: u16 = status.ok_or("unreadable status")?;
    let length = field(&head, "content-length").and_then(|text| text.parse::<usize>().ok());
    match length {
        Some(length) => {
            while buffer.len() < end + length {
                if read(buffer)? == 0 {
                    return Err("connection closed within an answer".to_owned());
                }
            }
            let body = buffer[end..end + length].to_vec();
            buffer.drain(..end + length);
            Ok(Answer { status, head, body })
        }
        None => {
            while read(buffer)? > 0 {}
            let body = buffer[end..].to_vec();
            buffer.clear();
            Ok(Answer { status, head, body })
        }
    }
}

/// Whether a cold searcher got more requests in one second than `bound`.
pub fn exceeds_while_cold(site: &Site, arrivals: &Arrivals, bound: f64) -> bool {
    let arrivals = arrivals.lock().unwrap();
    let mut names: Vec<_> = arrivals.iter().map(|arrival| &arrival.searcher).collect();
    names.sort();
    names.dedup();
    let mut broken = false;
    for name in names {
        let cold = arrivals
            .iter()
            .filter(|arrival| arrival.cold && arrival.ran);
        let of_this = cold.filter(|arrival| arrival.searcher == *name);
        let times: Vec<_> = of_this.map(|arrival| arrival.at).collect();
        let within = |first: usize| {
            let end = times[first] + Duration::from_secs(1);
            times[first..].iter().take_while(|at| **at < end).count()
        };
        let most = (0..times.len()).map(within).max().unwrap_or(0);
        if most > 0 {
            site.record.line(format!(
                "{name}: {most} requests in one second while cold, {bound} are allowed"
            ));
        }
        broken |= most as f64 > bound;
    }
    broken
}
