//! A site of real processes on loopback.

use std::{
    fs, io, net,
    os::unix::fs::OpenOptionsExt,
    path, process,
    sync::atomic,
    time::{self, Duration},
};

use fireflyspool::{cli, control, ids, outcome, rim, settings, state, traffic};
use fireflyspool_bench::searcher;

/// Longest wait for a condition; far above what any of them takes on a busy machine.
const PATIENCE: Duration = Duration::from_secs(40);

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(50);

/// VMs, backend servers and a client; everything is killed when it is dropped.
pub(crate) struct Site {
    folder: path::PathBuf,
    http: Vec<net::SocketAddr>,
    rpc: Vec<net::SocketAddr>,
    vms: Vec<Option<process::Child>>,
    searchers: Vec<process::Child>,
    pub(crate) listings: Vec<searcher::Listing>,
    client: cli::Client,
    key: settings::SharedKey,
    number: atomic::AtomicU64,
}

impl Site {
    /// Starts VMs, the first three with the control role, in the zones in turn.
    pub(crate) async fn start(vms: usize, zones: &[&str]) -> Self {
        Self::start_after(vms, zones, |_| ()).await
    }

    /// Calls `before` with the listeners that were chosen, then starts the VMs.
    pub(crate) async fn start_after<T>(
        vms: usize,
        zones: &[&str],
        before: impl FnOnce(&[net::SocketAddr]) -> T,
    ) -> Self {
        static COUNT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
        let count = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("site-{}-{count}", process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let key_file = folder.join("key");
        let mut options = fs::OpenOptions::new();
        let file = options
            .write(true)
            .create(true)
            .truncate(true)
            .mode(0o600)
            .open(&key_file);
        io::Write::write_all(&mut file.expect("a key file"), b"0123456789abcdef0123")
            .expect("a key");
        let listeners = free_listeners(vms * 2);
        let _before = before(&listeners);
        let site = Self {
            http: listeners[..vms].to_vec(),
            rpc: listeners[vms..].to_vec(),
            vms: (0..vms).map(|_| None).collect(),
            searchers: Vec::new(),
            listings: Vec::new(),
            client: cli::Client::new().expect("a client"),
            key: settings::SharedKey::load(&key_file).expect("a key"),
            number: atomic::AtomicU64::new(1),
            folder,
        };
        let mut site = site;
        for vm in 1..=vms {
            site.write_settings(vm, zones[(vm - 1) % zones.len()]);
            if vm <= 3 {
                assert!(site.init(vm, false).success(), "data init of VM {vm}");
            }
            site.start_vm(vm);
        }
        site.until("a leader", async |site| {
            site.show("members").await.is_some()
        })
        .await;
        site
    }

    fn write_settings(&self, vm: usize, zone: &str) {
        let control: Vec<_> = (1..=3)
            .map(|node| format!("  - {{node: {node}, rpc: '{}'}}\n", self.rpc[node - 1]))
            .collect();
        let roles = if vm <= 3 {
            "[entry, control]"
        } else {
            "[entry]"
        };
        let text = format!(
            "site: test\nnode: {vm}\nzone: {zone}\nroles: {roles}\nhttp: {}\nrpc: {}\n\
             key-file: key\ndata: data-{vm}\ntraffic-threads: 2\ncontrol:\n{}",
            self.http[vm - 1],
            self.rpc[vm - 1],
            control.concat(),
        );
        fs::write(self.settings(vm), text).expect("settings");
    }

    /// Gives a VM the control role from its next start on.
    pub(crate) fn make_control(&self, vm: usize) {
        let text = fs::read_to_string(self.settings(vm)).expect("settings");
        fs::write(
            self.settings(vm),
            text.replace("[entry]", "[entry, control]"),
        )
        .expect("settings");
    }

    /// Creates the data folder of a VM.
    pub(crate) fn init(&self, vm: usize, join: bool) -> process::ExitStatus {
        let mut command = process::Command::new(binary());
        command
            .args(["data", "init", "--settings"])
            .arg(self.settings(vm));
        if join {
            command.arg("--join");
        }
        command
            .stdout(process::Stdio::null())
            .status()
            .expect("data init runs")
    }

    /// Incarnation of a VM's data folder.
    pub(crate) fn incarnation(&self, vm: usize) -> ids::Incarnation {
        let folder = self.data(vm);
        let summary = fireflyspool::storage::DataFolder::inspect(&folder).expect("a data folder");
        summary.identity.incarnation
    }

    /// Data folder of a VM.
    pub(crate) fn data(&self, vm: usize) -> path::PathBuf {
        self.folder.join(format!("data-{vm}"))
    }

    /// Address for other processes of a VM.
    pub(crate) fn rpc(&self, vm: usize) -> net::SocketAddr {
        self.rpc[vm - 1]
    }

    /// Starts a VM.
    pub(crate) fn start_vm(&mut self, vm: usize) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("vm-{vm}.log")))
            .expect("a log file");
        let child = process::Command::new(binary())
            .args(["serve", "--settings"])
            .arg(self.settings(vm))
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("a VM starts");
        self.vms[vm - 1] = Some(child);
    }

    /// Kills a VM without warning.
    pub(crate) fn kill(&mut self, vm: usize) {
        if let Some(mut child) = self.vms[vm - 1].take() {
            child.kill().expect("a VM can be killed");
            child.wait().expect("a killed VM ends");
        }
    }

    /// Sends a signal to a VM.
    pub(crate) fn signal(&self, vm: usize, signal: &str) {
        let child = self.vms[vm - 1].as_ref().expect("the VM runs");
        let sent = process::Command::new("kill")
            .args([&format!("-{signal}"), &child.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits until a VM has ended and returns its exit code.
    pub(crate) async fn ended(&mut self, vm: usize) -> Option<i32> {
        let started = time::Instant::now();
        while started.elapsed() < PATIENCE {
            let child = self.vms[vm - 1].as_mut().expect("the VM runs");
            if let Some(status) = child.try_wait().expect("the VM can be asked") {
                self.vms[vm - 1] = None;
                return status.code();
            }
            tokio::time::sleep(LOOK).await;
        }
        panic!("VM {vm} did not end; log: {}", self.log_tail(vm));
    }

    /// Starts one backend server for each zone and shard, names the service and
    /// creates the collection `dossiers`, and waits until all are owned.
    pub(crate) async fn start_searchers(&mut self, zones: &[&str], shards: u32, behaviour: &str) {
        for zone in zones {
            let listing = self.folder.join(format!("listing-{zone}"));
            let file = self.folder.join(format!("searchers-{zone}.yaml"));
            fs::write(
                &file,
                self.searcher_settings(zone, shards, behaviour, &listing),
            )
            .expect("settings");
            let child = process::Command::new(env!("CARGO_BIN_EXE_fireflyspool-bench"))
                .args(["searcher", "--settings"])
                .arg(&file)
                .stdout(process::Stdio::null())
                .stderr(process::Stdio::null())
                .spawn();
            self.searchers.push(child.expect("searchers start"));
            self.read_listing(&listing).await;
        }
        self.accept("define service desk slots 2 connections 55")
            .await;
        let create = format!("create collection dossiers version 1 shards {shards} services desk");
        self.accept(&create).await;
        let wanted = zones.len() * shards as usize;
        self.until("all backend servers owned", async |site| {
            site.owned().await == wanted
        })
        .await;
    }

    fn searcher_settings(
        &self,
        zone: &str,
        shards: u32,
        behaviour: &str,
        listing: &path::Path,
    ) -> String {
        let entries: Vec<_> = self
            .http
            .iter()
            .map(|address| format!("'{address}'"))
            .collect();
        let searchers: Vec<_> = (0..shards)
            .map(|shard| {
                format!(
                    "  - {{name: {zone}-{shard}, service: desk, zone: {zone}, \
                     hosted: [{{collection: dossiers, version: 1, shard: {shard}}}], \
                     behaviour: {{slots: 2, connections: 55{behaviour}}}}}\n"
                )
            })
            .collect();
        format!(
            "entries: [{}]\nkey_file: {}\nlisting: {}\nsearchers:\n{}",
            entries.join(", "),
            self.folder.join("key").display(),
            listing.display(),
            searchers.concat(),
        )
    }

    async fn read_listing(&mut self, listing: &path::Path) {
        let started = time::Instant::now();
        loop {
            let text = fs::read_to_string(listing).unwrap_or_default();
            if let Ok(read) = serde_json::from_str::<Vec<searcher::Listing>>(&text) {
                self.listings.extend(read);
                return;
            }
            assert!(started.elapsed() < PATIENCE, "no listing of the searchers");
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Number of backend servers that are ready, not taken out and owned.
    pub(crate) async fn owned(&self) -> usize {
        let Some(table) = self.show("servers").await else {
            return 0;
        };
        let usable = |row: &&Vec<String>| row[4] == "ready" && row[5] != "none" && row[6] == "in";
        table.rows.iter().filter(usable).count()
    }

    /// Counters of all backend servers of a zone.
    pub(crate) async fn counters(&self, zone: &str) -> Vec<searcher::Counters> {
        let mut counters = Vec::new();
        for listing in self.listings.iter().filter(|listing| listing.zone == zone) {
            let url = format!("http://{}/control/counters", listing.control);
            let response = reqwest::get(url).await.expect("a searcher answers");
            counters.push(response.json().await.expect("counters"));
        }
        counters
    }

    /// Requests that began to run on the backend servers of a zone.
    pub(crate) async fn runs(&self, zone: &str) -> u64 {
        self.counters(zone)
            .await
            .iter()
            .map(|counters| counters.run)
            .sum()
    }

    /// Table of a `show` statement, asked at any VM that runs.
    pub(crate) async fn show(&self, what: &str) -> Option<control::Table> {
        let number = 0;
        for vm in self.running() {
            let outcome = self
                .command_at(vm, "show", number, &format!("show {what}"), false)
                .await;
            if let Ok(traffic::CommandOutcome::Shown { table }) = outcome {
                return Some(table);
            }
        }
        None
    }

    /// Runs a command under a new number and expects it to be in force.
    pub(crate) async fn accept(&self, statement: &str) -> ids::Revision {
        let number = self.next_number();
        for _ in 0..20 {
            for vm in self.running() {
                let outcome = self.command_at(vm, "test", number, statement, true).await;
                if let Ok(traffic::CommandOutcome::Decided {
                    receipt: state::Receipt::Accepted { revision },
                    in_force: true,
                }) = outcome
                {
                    return revision;
                }
            }
        }
        panic!("{statement} was not accepted");
    }

    /// Number for a new command.
    pub(crate) fn next_number(&self) -> u64 {
        self.number.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Sends a command to one VM.
    pub(crate) async fn command_at(
        &self,
        vm: usize,
        operator: &str,
        number: u64,
        statement: &str,
        wait: bool,
    ) -> Result<traffic::CommandOutcome, cli::ClientError> {
        let wait = if wait {
            rim::CommandWait::InForce
        } else {
            rim::CommandWait::Accepted
        };
        let request = rim::CommandRequest {
            operator: operator.to_owned(),
            number,
            statement: statement.to_owned(),
            wait,
        };
        self.client
            .command(self.http[vm - 1], &self.key, &request)
            .await
    }

    /// Sends a statement to one VM.
    pub(crate) async fn query_at(
        &self,
        vm: usize,
        statement: &str,
    ) -> Result<outcome::Outcome, cli::ClientError> {
        self.query_address(self.http[vm - 1], statement).await
    }

    /// Sends a statement to an address.
    pub(crate) async fn query_address(
        &self,
        address: net::SocketAddr,
        statement: &str,
    ) -> Result<outcome::Outcome, cli::ClientError> {
        let request = rim::QueryRequest {
            statement: statement.to_owned(),
            request: None,
            caller: None,
        };
        self.client.query(address, &request).await
    }

    /// Asks one VM which addresses to use.
    pub(crate) async fn addresses(&self, vm: usize, caller: &str) -> Vec<net::SocketAddr> {
        let answer = self
            .client
            .addresses(self.http[vm - 1], "desk", caller)
            .await;
        answer.map(|answer| answer.addresses).unwrap_or_default()
    }

    /// VMs that were started and not killed.
    pub(crate) fn running(&self) -> Vec<usize> {
        (1..=self.vms.len())
            .filter(|vm| self.vms[vm - 1].is_some())
            .collect()
    }

    /// Number of the leader.
    pub(crate) async fn leader(&self) -> usize {
        let members = self.show("members").await.expect("a leader");
        let leader = members.rows.iter().find(|row| row[3] == "leader");
        leader.expect("a leader")[0].parse().expect("a number")
    }

    /// Waits until a condition holds.
    pub(crate) async fn until(&self, what: &str, condition: impl AsyncFn(&Self) -> bool) {
        let started = time::Instant::now();
        while !condition(self).await {
            if started.elapsed() > PATIENCE {
                let logs: Vec<_> = (1..=self.vms.len()).map(|vm| self.log_tail(vm)).collect();
                panic!("gave up waiting for {what}; logs:\n{}", logs.join("\n--\n"));
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    fn settings(&self, vm: usize) -> path::PathBuf {
        self.folder.join(format!("vm-{vm}.yaml"))
    }

    fn log_tail(&self, vm: usize) -> String {
        let file = self.folder.join(format!("vm-{vm}.log"));
        let text = fs::read_to_string(file).unwrap_or_default();
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(12)..].join("\n")
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.vms.iter_mut().flatten().chain(&mut self.searchers) {
            // A process that has ended by itself cannot be killed.
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Program of the workspace, built beside the tests.
fn binary() -> path::PathBuf {
    let bench = path::Path::new(env!("CARGO_BIN_EXE_fireflyspool-bench"));
    bench.with_file_name("fireflyspool")
}

/// Listeners at an address that only this process uses: between this look and the start of
/// a VM, no other process binds them. The ports are below the range from which outgoing
/// connections take theirs.
fn free_listeners(count: usize) -> Vec<net::SocketAddr> {
    const FIRST: u32 = 20_000;
    const RANGE: u32 = 12_000;
    static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let start = process::id().wrapping_mul(97);
    let [_, high, middle, low] = process::id().to_be_bytes();
    let own = net::Ipv4Addr::new(127, 64 + high % 64, middle, low.clamp(1, 254));
    let candidates = std::iter::repeat_with(|| {
        let step = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let port = FIRST + start.wrapping_add(step) % RANGE;
        net::SocketAddr::from((own, u16::try_from(port).expect("a port")))
    });
    let free = |address: &net::SocketAddr| net::TcpListener::bind(address).is_ok();
    candidates.filter(free).take(count).collect()
}
