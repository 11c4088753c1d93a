//! Test site on loopback: real processes, stand-in backend servers, an operator
//! and a caller that checks its answers.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary uses a part of the module"
)]

mod caller;
mod crashes;
mod identity;
mod process;
mod stand_in_server;
mod stated_notices;

use std::{
    net, panic, path,
    sync::{self, atomic},
    time,
};

pub(crate) use caller::Caller;
pub(crate) use identity::Identity;
pub(crate) use process::Process;
pub(crate) use stand_in_server::{SLOW_MARKER, StandInServer, record};
pub(crate) use stated_notices::StatedNotices;

/// Longest wait for an expected event, with a margin for a busy machine.
pub(crate) const WAIT_LIMIT: time::Duration = time::Duration::from_secs(40);

/// Services that the scatter-gather route queries.
pub(crate) const SHARDS: [&str; 3] = ["shard-1", "shard-2", "shard-3"];

/// Service of the non-idempotent route.
pub(crate) const SINGLE_SERVICE: &str = "desk";

/// Addresses, ports and folder of the processes of one test.
pub(crate) struct Site {
    folder: path::PathBuf,
    network: u8,
    ports: [u16; 4],
    /// Further lines of the table of bounds in the settings.
    pub(crate) bounds: &'static str,
    pub(crate) http: reqwest::Client,
}

/// Whether a thread of this test binary has panicked.
static FAILED: atomic::AtomicBool = atomic::AtomicBool::new(false);

/// Notes panics for [`Site::drop`], which may run on a thread that has not panicked.
fn watch_panics() {
    static WATCHED: sync::Once = sync::Once::new();
    WATCHED.call_once(|| {
        let report = panic::take_hook();
        panic::set_hook(Box::new(move |panicked| {
            FAILED.store(true, atomic::Ordering::Relaxed);
            report(panicked);
        }));
    });
}

impl Site {
    pub(crate) fn new(network: u8) -> Self {
        watch_panics();
        // All are held until the last one is drawn; a port that is free again may be drawn twice.
        let listeners = [(); 4].map(|()| net::TcpListener::bind("127.0.0.1:0"));
        let listeners = listeners.map(|listener| listener.expect("a free port"));
        let ports = listeners.map(|listener| listener.local_addr().expect("an address").port());
        let name = format!("fireflyspool-site-{}-{network}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Self {
            folder,
            network,
            ports,
            bounds: "",
            http: reqwest::Client::builder()
                .no_proxy()
                .timeout(time::Duration::from_secs(2))
                .build()
                .expect("a client"),
        }
    }

    pub(crate) fn ip(&self, vm: u8) -> net::IpAddr {
        net::IpAddr::from([127, 9, self.network, vm])
    }

    /// Address of a VM on the port with this index; 0 and 3 bound the internal ports.
    pub(crate) fn address(&self, vm: u8, port: usize) -> net::SocketAddr {
        net::SocketAddr::new(self.ip(vm), self.ports[port])
    }

    /// Address of a control VM for operators and backend servers.
    pub(crate) fn control(&self, vm: u8) -> net::SocketAddr {
        self.address(vm, 1)
    }

    pub(crate) fn data_folder(&self, vm: u8) -> path::PathBuf {
        self.folder.join(format!("data-{vm}"))
    }

    /// What a process has logged so far.
    pub(crate) fn log(&self, vm: u8, role: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{role}-{vm}.log"))).unwrap_or_default()
    }

    /// Writes the settings of a process and starts it; VMs 1 to 3 are the seeds.
    pub(crate) fn start(&self, vm: u8, role: &str, zone: &str, bootstrap: bool) -> Process {
        self.start_with_seeds(vm, (role, zone), bootstrap, &[1, 2, 3])
    }

    /// Writes the settings of a process with these control VMs as seeds and starts it.
    pub(crate) fn start_with_seeds(
        &self,
        vm: u8,
        (role, zone): (&str, &str),
        bootstrap: bool,
        seeds: &[u8],
    ) -> Process {
        let (ip, internal) = (self.ip(vm), self.ports[0]);
        let seeds = seeds.iter().map(|seed| self.control(*seed));
        let seeds: Vec<_> = seeds.map(|seed| format!("\"{seed}\"")).collect();
        let addresses = match role {
            "control" => format!(
                "Control = \"{}\"\ndirectory = \"{}\"",
                self.address(vm, 1),
                self.address(vm, 2)
            ),
            _ => format!(
                "Frontend = \"{}\"\nReady = \"{}\"",
                self.address(vm, 1),
                self.address(vm, 2)
            ),
        };
        let text = format!(
            "NodeName = \"{role}-{vm}\"\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"r\"\n\
             InternalPortRange = [{internal}, {}]\nSeeds = [{}]\nBootstrap = {bootstrap}\n\
             DataDir = \"{}\"\nHeartbeatMs = 300\n[ListenAddrs]\n{addresses}\n[Bounds]\n\
             RetryBudgetRatio = 0.2\nBudgetSlack = 500\nRetryWindowS = 10\nGraceS = 4\n{}",
            self.ports[3],
            seeds.join(","),
            self.data_folder(vm).display(),
            self.bounds,
        );
        let path = self.folder.join(format!("{role}-{vm}.toml"));
        std::fs::write(&path, text).expect("settings");
        Process::start(role, &path, &self.folder.join(format!("{role}-{vm}.log")))
    }

    /// JSON configuration; `timeout_ms` applies to the scatter-gather route.
    pub(crate) fn configuration(&self, version: u64, timeout_ms: u64) -> String {
        let service = |name: &str| format!(r#"{{"Name":"{name}","MaxConnections":60}}"#);
        let services: Vec<_> = SHARDS
            .iter()
            .chain([&SINGLE_SERVICE])
            .map(|name| service(name))
            .collect();
        format!(
            r#"{{"Version":{version},"Routes":[{{"Name":"all","Hostname":"h.example",
            "PathPrefix":"/all/","RouteType":"idempotent","TimeoutMs":{timeout_ms},
            "TargetLatencyMs":400,"Priority":1,"Gather":["shard-1","shard-2","shard-3"],
            "Attempts":2,"TopK":4,"MinCoverage":0.6}},{{"Name":"one","Hostname":"h.example",
            "PathPrefix":"/one/","RouteType":"non_idempotent","TimeoutMs":2000,
            "TargetLatencyMs":400,"Priority":2,"Backend":"desk","Attempts":2}}],
            "Backends":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,
            "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
            services.join(",")
        )
    }

    /// Sends an order to the control VMs in turn until one acknowledges it.
    pub(crate) async fn order(&self, controls: &[u8], path: &str, body: String) {
        let start = time::Instant::now();
        let mut attempt = 0;
        while start.elapsed() < WAIT_LIMIT {
            let control = self.control(controls[attempt % controls.len()]);
            attempt += 1;
            let sent = self.http.post(format!("http://{control}{path}"));
            match sent.body(body.clone()).send().await {
                Ok(answer) if answer.status().is_success() => return,
                Ok(answer) if answer.status().as_u16() < 500 => {
                    panic!(
                        "{path} was refused: {}",
                        answer.text().await.unwrap_or_default()
                    );
                }
                _ => tokio::time::sleep(time::Duration::from_millis(50)).await,
            }
        }
        panic!("{path} was not acknowledged in {WAIT_LIMIT:?}");
    }

    /// Asks the control VMs in turn for the configuration until one returns it.
    pub(crate) async fn read_back(&self, controls: &[u8]) -> String {
        let start = time::Instant::now();
        let mut attempt = 0;
        while start.elapsed() < WAIT_LIMIT {
            let control = self.control(controls[attempt % controls.len()]);
            attempt += 1;
            let url = format!("http://{control}/fireflyspool/Config.Get");
            match self.http.get(url).send().await {
                Ok(answer) if answer.status().is_success() => {
                    return answer.text().await.expect("a body");
                }
                _ => tokio::time::sleep(time::Duration::from_millis(50)).await,
            }
        }
        panic!("no configuration was read in {WAIT_LIMIT:?}");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // The logs of a failed test are kept, whichever of its tasks uses the site last.
        if FAILED.load(atomic::Ordering::Relaxed) {
            eprintln!("the logs are in {}", self.folder.display());
            return;
        }
        // If this fails, files remain in the temporary folder of the system.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
