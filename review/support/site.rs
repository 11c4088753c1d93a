//! Processes of the tier on loopback addresses, with settings like those of a small deployment.

use std::{
    env, fs, io, net, path, process,
    sync::{Arc, Mutex},
    thread, time,
};

use crate::{http, record};

/// Bounds that the rules of the cases use, as the sites name them.
pub const CONTACT: time::Duration = time::Duration::from_secs(4);
pub const DRAIN: time::Duration = time::Duration::from_secs(3);
pub const EVACUATE: time::Duration = time::Duration::from_secs(5);
pub const HEARTBEAT: time::Duration = time::Duration::from_millis(1_200);

const BOUNDS: &str = "[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 4000\nAckMs = 5000\n\
    CatchupS = 4\nDrainMs = 3000\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 3000\n\
    RollbackSlackMs = 250\nMaxStretchMs = 12000\nRetryBudgetRatio = 0.2\nRetryWindowS = 10\n\
    BudgetSlack = 116\nWarmupOvershoot = 1.5\nWarmupSlack = 5\nEvacuateMs = 5000\n\
    RecoveryS = 12\nttl_max_s = 5\n";

/// Zones of the site.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Zones of the control VMs 1 to 5; 1, 3 and 5 are the seeds.
const CONTROL_ZONES: [&str; 5] = ["a", "a", "b", "b", "c"];
const SEEDS: [u8; 3] = [1, 3, 5];

/// First number of an entry VM.
const FIRST_ENTRY: u8 = 11;

/// First number of a backend server.
const FIRST_SERVER: u8 = 101;

struct Running {
    vm: u8,
    child: process::Child,
}

/// Folder, ports and processes of one run.
#[derive(Clone)]
pub struct Site {
    folder: path::PathBuf,
    binary: path::PathBuf,
    network: [u8; 2],
    ports: [u16; 4],
    running: Arc<Mutex<Vec<Running>>>,
    record: record::Record,
}

impl Site {
    pub fn new(record: &record::Record) -> io::Result<Self> {
        let root = env::current_exe()?;
        let target = root.ancestors().nth(2).map(path::Path::to_owned);
        let binary = target.unwrap_or_default().join("release/fireflyspool");
        if !binary.exists() {
            return Err(io::Error::other("the programs are not built"));
        }
        let id = process::id();
        let folder = env::temp_dir().join(format!("fireflyspool-review-{id}"));
        fs::create_dir_all(&folder)?;
        let port = || {
            net::TcpListener::bind("127.0.0.1:0")?
                .local_addr()
                .map(|own| own.port())
        };
        Ok(Self {
            folder,
            binary,
            network: [100 + (id % 100) as u8, (id / 100 % 250) as u8 + 1],
            ports: [port()?, port()?, port()?, port()?],
            running: Arc::default(),
            record: record.clone(),
        })
    }

    pub fn ip(&self, vm: u8) -> net::IpAddr {
        net::IpAddr::from([127, self.network[0], self.network[1], vm])
    }

    /// Address of a control VM for operators and servers.
    pub fn control(&self, vm: u8) -> net::SocketAddr {
        net::SocketAddr::new(self.ip(vm), self.ports[1])
    }

    /// Address of a control VM for callers that look up entry VMs.
    pub fn directory(&self, vm: u8) -> net::SocketAddr {
        net::SocketAddr::new(self.ip(vm), self.ports[2])
    }

    /// Address of an entry VM for callers.
    pub fn entry(&self, vm: u8) -> net::SocketAddr {
        net::SocketAddr::new(self.ip(vm), self.ports[1])
    }

    fn ready(&self, vm: u8) -> net::SocketAddr {
        net::SocketAddr::new(self.ip(vm), self.ports[2])
    }

    /// Address of a backend server.
    pub fn server(&self, number: u8) -> net::SocketAddr {
        net::SocketAddr::new(self.ip(FIRST_SERVER + number), self.ports[1])
    }

    pub fn controls(&self) -> Vec<u8> {
        (1..=CONTROL_ZONES.len() as u8).collect()
    }

    /// Entry VMs; VM `index` is in zone `index % 3`.
    pub fn entries(&self, count: u8) -> Vec<u8> {
        (FIRST_ENTRY..FIRST_ENTRY + count).collect()
    }

    /// Starts all control VMs and `entries` entry VMs, as the platform does at the first start.
    pub fn start(&self, entries: u8) -> io::Result<()> {
        for vm in self.controls() {
            self.start_vm(vm, true)?;
        }
        for vm in self.entries(entries) {
            self.start_vm(vm, true)?;
        }
        Ok(())
    }

    /// Starts the process of a VM; `bootstrap` at the first start only.
    pub fn start_vm(&self, vm: u8, bootstrap: bool) -> io::Result<()> {
        let is_control = vm < FIRST_ENTRY;
        let (role, class, zone) = match is_control {
            true => ("control", "core", CONTROL_ZONES[usize::from(vm - 1)]),
            false => (
                "entry",
                "edge",
                ZONES[usize::from(vm - FIRST_ENTRY) % ZONES.len()],
            ),
        };
        let ip = self.ip(vm);
        let seeds = SEEDS
            .map(|seed| format!("\"{}\"", self.control(seed)))
            .join(",");
        let (serves, listen, data) = match is_control {
            true => {
                let data = self.folder.join(format!("data-{vm}"));
                fs::create_dir_all(&data)?;
                (
                    "[\"control_plane\", \"directory\"]",
                    format!(
                        "Control = \"{}\"\ndirectory = \"{}\"",
                        self.control(vm),
                        self.directory(vm)
                    ),
                    format!("DataDir = \"{}\"\n", data.display()),
                )
            }
            false => (
                "[\"edge\"]",
                format!(
                    "Frontend = \"{}\"\nReady = \"{}\"",
                    self.entry(vm),
                    self.ready(vm)
                ),
                String::new(),
            ),
        };
        let zones = ZONES.map(|zone| format!("{zone} = \"r\"\n")).concat();
        let text = format!(
            "NodeName = \"{class}-{zone}-{vm}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\n\
             Serves = {serves}\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"r\"\n\
             InternalPortRange = [{},{}]\nSeeds = [{seeds}]\nBootstrap = {bootstrap}\n\
             InFaultDomain = {is_control}\nDiscovery = \"registration\"\nEntryMode = \"directory\"\n\
             HeartbeatMs = 1200\nconfig_mode = \"highest\"\n{data}[Zones]\n{zones}\
             [ListenAddrs]\n{listen}\n[FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n{BOUNDS}",
            self.ports[0], self.ports[3],
        );
        let settings = self.folder.join(format!("{vm}.toml"));
        fs::write(&settings, text)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{vm}.log")))?;
        let child = process::Command::new(&self.binary)
            .args(["platform", role])
            .env("FIREFLYSPOOL_CONFIG", &settings)
            .stdin(process::Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .note(format!("started VM {vm}: platform {role}, zone {zone}"));
        self.lock().push(Running { vm, child });
        Ok(())
    }

    /// Sends a signal to the process of a VM.
    pub fn signal(&self, vm: u8, signal: &str) -> io::Result<()> {
        let id = self
            .lock()
            .iter()
            .find(|one| one.vm == vm)
            .map(|one| one.child.id());
        let id = id.ok_or_else(|| io::Error::other("the VM does not run"))?;
        self.record.note(format!("signal {signal} to VM {vm}"));
        let sent = process::Command::new("sh")
            .args(["-c", &format!("kill -{signal} {id}")])
            .status()?;
        match sent.success() {
            true => Ok(()),
            false => Err(io::Error::other("the signal could not be sent")),
        }
    }

    /// Kills the processes of these VMs at the same moment.
    pub fn kill(&self, vms: &[u8]) {
        let mut running = self.lock();
        for one in running.iter_mut().filter(|one| vms.contains(&one.vm)) {
            // It may have ended by itself.
            let _ = one.child.kill();
            self.record.note(format!("killed VM {}", one.vm));
        }
        for one in running.iter_mut().filter(|one| vms.contains(&one.vm)) {
            let _ = one.child.wait();
        }
        running.retain(|one| !vms.contains(&one.vm));
    }

    /// VMs whose process has ended by itself.
    pub fn ended(&self) -> Vec<u8> {
        let mut running = self.lock();
        let ended = running.iter_mut().filter_map(|one| {
            let ended = one.child.try_wait().ok().flatten().is_some();
            ended.then_some(one.vm)
        });
        ended.collect()
    }

    /// Waits until these entry VMs say that they are ready.
    pub fn await_ready(&self, entries: &[u8], limit: time::Duration) -> io::Result<()> {
        let start = time::Instant::now();
        for vm in entries {
            loop {
                let second = time::Duration::from_secs(1);
                let answer = http::call(
                    self.ready(*vm),
                    "GET",
                    "/fireflyspool/ready",
                    &[],
                    b"",
                    second,
                );
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if start.elapsed() > limit {
                    return Err(io::Error::other(format!("VM {vm} did not become ready")));
                }
                thread::sleep(time::Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Control VM that leads, as far as the logs tell.
    pub fn leader(&self) -> io::Result<u8> {
        let elected = |vm: &u8| {
            let log = fs::read_to_string(self.folder.join(format!("{vm}.log"))).unwrap_or_default();
            let lines = log
                .lines()
                .filter(|line| line.contains("\"role\":\"Leader\""));
            let terms = lines.filter_map(|line| {
                let term = line.split("\"term\":").nth(1)?;
                let digits = term.split(|one: char| !one.is_ascii_digit()).next()?;
                digits.parse::<u64>().ok()
            });
            terms.max()
        };
        let elected = |vm: u8| Some((elected(&vm)?, vm));
        let newest = self.controls().into_iter().filter_map(elected).max();
        let newest = newest.map(|(_, vm)| vm);
        newest.ok_or_else(|| io::Error::other("no control VM leads"))
    }

    /// Removes the disk of a control VM that does not run.
    pub fn lose_disk(&self, vm: u8) -> io::Result<()> {
        self.record.note(format!("VM {vm} loses its disk"));
        fs::remove_dir_all(self.folder.join(format!("data-{vm}")))
    }

    /// Ends all processes and removes the folder.
    pub fn end(&self) {
        let mut running = self.lock();
        for one in running.iter_mut() {
            // It may have ended already.
            let _ = one.child.kill();
            let _ = one.child.wait();
        }
        running.clear();
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Running>> {
        self.running
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
