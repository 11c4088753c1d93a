//! Processes of a small deployment on loopback addresses, and its operator.

use std::{
    fs,
    io::Write as _,
    net::{IpAddr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Ports that are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub internal: u16,
    pub control: u16,
    pub directory: u16,
    pub frontend: u16,
    pub ready: u16,
}

pub struct Site {
    pub folder: PathBuf,
    net: (u8, u8),
    pub ports: Ports,
    /// Further lines of the table `Bounds`.
    pub bounds: String,
    pub started: Instant,
    record: Mutex<fs::File>,
    processes: Mutex<Vec<(u8, Child)>>,
    pub controls: Vec<u8>,
}

/// Zones of the machines by their number.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

impl Site {
    /// A site with the control machines 1 to 3.
    pub fn new(case: &str, record: &str) -> Self {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("fireflyspool-review-{case}-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let net = (64 + (pid >> 8) as u8 % 128, pid as u8);
        // Below the range from which the system draws ports.
        let mut base = 12_000 + (pid % 800) as u16 * 24;
        loop {
            let ip = IpAddr::from([127, net.0, net.1, 1]);
            if (base..base + 24).all(|port| TcpListener::bind((ip, port)).is_ok()) {
                break;
            }
            base = 12_000 + (base - 12_000 + 24) % 19_000;
        }
        let ports = Ports {
            internal: base,
            control: base + 16,
            directory: base + 17,
            frontend: base + 18,
            ready: base + 19,
        };
        let record = fs::File::create(record).expect("the record");
        Self {
            folder,
            net,
            ports,
            bounds: String::new(),
            started: Instant::now(),
            record: Mutex::new(record),
            processes: Mutex::default(),
            controls: vec![1, 2, 3],
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        self.keep_line(&line);
    }

    /// Writes a line to the record only.
    pub fn keep(&self, at: Instant, text: &str) {
        let at = at.saturating_duration_since(self.started).as_secs_f64();
        self.keep_line(&format!("{at:9.3} {text}\n"));
    }

    fn keep_line(&self, line: &str) {
        let _ = self
            .record
            .lock()
            .expect("the record")
            .write_all(line.as_bytes());
    }

    pub fn ip(&self, vm: u8) -> IpAddr {
        IpAddr::from([127, self.net.0, self.net.1, vm])
    }

    pub fn at(&self, vm: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(vm), port)
    }

    pub fn zone(&self, vm: u8) -> &'static str {
        ZONES[usize::from(vm) % ZONES.len()]
    }

    /// Starts a control (numbers up to 9) or entry machine; the first three control machines are
    /// the seeds.
    pub fn start(&self, vm: u8, bootstrap: bool) {
        let is_control = self.controls.contains(&vm);
        let role = if is_control { "control" } else { "entry" };
        let (ip, zone, ports) = (self.ip(vm), self.zone(vm), self.ports);
        let seeds = self.controls.iter().take(3);
        let seeds: Vec<_> = seeds
            .map(|seed| format!("\"{}\"", self.at(*seed, ports.control)))
            .collect();
        let (class, addresses) = match is_control {
            true => (
                "core",
                format!(
                    "Control = \"{ip}:{}\"\ndirectory = \"{ip}:{}\"",
                    ports.control, ports.directory
                ),
            ),
            false => (
                "edge",
                format!(
                    "Frontend = \"{ip}:{}\"\nReady = \"{ip}:{}\"",
                    ports.frontend, ports.ready
                ),
            ),
        };
        let serves = if is_control {
            "\"control_plane\",\"directory\""
        } else {
            "\"edge\""
        };
        let data = self.folder.join(format!("data-{vm}"));
        fs::create_dir_all(&data).expect("a data folder");
        let text = format!(
            "NodeName = \"{role}-{vm}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\nServes = [{serves}]\n\
             Ip = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"r\"\nInternalPortRange = [{}, {}]\nSeeds = [{}]\n\
             Bootstrap = {bootstrap}\nInFaultDomain = {is_control}\nDiscovery = \"registration\"\n\
             EntryMode = \"directory\"\nHeartbeatMs = 1200\nDataDir = \"{}\"\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\"]\n\
             config_mode = \"highest\"\n[Zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n[ListenAddrs]\n{addresses}\n\
             [Limits]\nMemoryMb = 182\nMaxFds = 2870\n[FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 4000\nAckMs = 5000\nCatchupS = 4\nDrainMs = 3000\n\
             GraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 3000\nRollbackSlackMs = 250\nMaxStretchMs = 12000\n\
             RetryBudgetRatio = 0.2\nRetryWindowS = 10\nBudgetSlack = 116\nWarmupOvershoot = 1.5\nWarmupSlack = 5\n\
             EvacuateMs = 5000\nRecoveryS = 12\nttl_max_s = 5\n{}",
            ports.internal,
            ports.internal + 15,
            seeds.join(","),
            data.display(),
            self.bounds,
        );
        let settings = self.folder.join(format!("{role}-{vm}.toml"));
        fs::write(&settings, text).expect("the settings");
        let log = self.folder.join(format!("{role}-{vm}.log"));
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let child = Command::new("target/release/fireflyspool")
            .args(["platform", role])
            .env("FIREFLYSPOOL_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file; build it first");
        self.processes
            .lock()
            .expect("the processes")
            .push((vm, child));
    }

    pub fn pid(&self, vm: u8) -> Option<u32> {
        let processes = self.processes.lock().expect("the processes");
        let found = processes.iter().find(|(number, _)| *number == vm);
        found.map(|(_, child)| child.id())
    }

    /// Sends a signal to a process that this case started.
    pub fn signal(&self, vm: u8, signal: &str) {
        if let Some(pid) = self.pid(vm) {
            let _ = Command::new("kill")
                .args([signal, &pid.to_string()])
                .status();
        }
    }

    /// Kills a process and waits for its end.
    pub fn kill(&self, vm: u8) {
        let mut processes = self.processes.lock().expect("the processes");
        if let Some(position) = processes.iter().position(|(number, _)| *number == vm) {
            let (_, mut child) = processes.swap_remove(position);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends an order to the control machines in turn until one acknowledges it.
    pub fn order(&self, path: &str, body: &str) -> Option<Instant> {
        let start = Instant::now();
        for attempt in 0.. {
            if start.elapsed() > Duration::from_secs(30) {
                return None;
            }
            let vm = self.controls[attempt % self.controls.len()];
            let address = self.at(vm, self.ports.control);
            let answer = http::call(
                address,
                "POST",
                path,
                &[],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            match answer.map(|answer| answer.status()) {
                Ok(200..=299) => return Some(Instant::now()),
                Ok(status @ 400..=499) => {
                    self.note(&format!("order {path} was refused with {status}"));
                    return None;
                }
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        None
    }

    /// Addresses that the directory gives to a client of a zone.
    pub fn resolve(&self, zone: &str) -> Vec<SocketAddr> {
        for vm in &self.controls {
            let path = format!("/fireflyspool/resolve?Name=h.example&Region=r&Zone={zone}");
            let address = self.at(*vm, self.ports.directory);
            let Ok(answer) = http::call(address, "GET", &path, &[], b"", Duration::from_secs(1))
            else {
                continue;
            };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let list = text
                .split_once('[')
                .and_then(|(_, rest)| rest.split_once(']'));
            let list = list.map_or("", |(list, _)| list);
            let found = list
                .split(',')
                .filter_map(|word| word.trim().trim_matches('"').parse().ok());
            let found: Vec<SocketAddr> = found.collect();
            if answer.status() == 200 && !found.is_empty() {
                return found;
            }
        }
        Vec::new()
    }
}

impl Site {
    /// Ends all processes that this case started, and removes its folder.
    pub fn end(&self) {
        for (_, child) in self.processes.lock().expect("the processes").iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
