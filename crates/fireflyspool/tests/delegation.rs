//! Queries whose shards are gathered by entry VMs of several zones, with real processes.
//!
//! Zone `a` has half of the shards and zone `b` the others, so an entry VM of `a` delegates to
//! those of `b`. Whatever happens to them, each answer must be complete or say truly what is
//! missing, and no query may be lost.

mod platform_site;

use std::{net, sync, time};

use platform_site::{Caller, Process, Site, StandInServer, WAIT_LIMIT};
use rustix::process::Signal;
use tokio::task::JoinSet;

const CONTROLS: [u8; 3] = [1, 2, 3];

/// Entry VMs of zone `a` and of zone `b`.
const OWN: u8 = 11;
const DELEGATES: [u8; 2] = [21, 22];

const SHARDS: usize = 12;

/// Heartbeat interval of the servers.
const HEARTBEAT: time::Duration = time::Duration::from_millis(300);

struct Running {
    site: sync::Arc<Site>,
    _controls: Vec<Process>,
    own: Process,
    delegates: Vec<Process>,
    entry: net::SocketAddr,
    caller: Caller,
    /// Has the servers of zone `b` read requests and never answer them.
    silent: sync::Arc<tokio::sync::Notify>,
}

impl Running {
    async fn start(network: u8) -> Self {
        let site = sync::Arc::new(Site::new(network));
        let zones = CONTROLS.iter().zip(["a", "b", "c"]);
        let controls = zones.map(|(vm, zone)| site.start(*vm, "control", zone, true));
        let controls = controls.collect();
        let own = site.start(OWN, "entry", "a", true);
        let delegates = DELEGATES.iter();
        let delegates = delegates.map(|vm| site.start(*vm, "entry", "b", true));
        let delegates = delegates.collect();
        site.order(&CONTROLS, "/fireflyspool/Config.Replace", configuration())
            .await;
        let silent = start_servers(&site).await;
        let mut running = Self {
            silent,
            entry: site.address(OWN, 1),
            site,
            _controls: controls,
            own,
            delegates,
            caller: Caller::new(),
        };
        running.wait_until_delegated().await;
        running
    }

    /// Queries until entry VMs of zone `b` have gathered groups.
    async fn wait_until_delegated(&mut self) {
        let start = time::Instant::now();
        while self.query().await != Some(0) || self.gathered() == 0 {
            let log = || self.site.log(OWN, "entry");
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "nothing is delegated: {}",
                log()
            );
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Queries all shards at the entry VM of zone `a`.
    async fn query(&mut self) -> Option<usize> {
        self.caller.query_route(self.entry, "/many/", SHARDS).await
    }

    /// Requests and groups that are under way at the entry VMs of zone `b`.
    async fn running_at_delegates(&self) -> usize {
        let mut running = 0;
        for vm in DELEGATES {
            let url = format!("http://{}/metrics", self.site.address(vm, 3));
            let answer = self.site.http.get(url).send().await.expect("metrics");
            let text = answer.text().await.expect("metrics");
            let mut lines = text.lines();
            let value = lines.find_map(|line| {
                line.strip_prefix("fireflyspool_state{name=\"running_requests\"} ")
            });
            running += value.map_or(0, |value| value.parse().expect("a number"));
        }
        running
    }

    /// Groups that the entry VMs of zone `b` have gathered.
    fn gathered(&self) -> usize {
        let logs = DELEGATES.iter().map(|vm| self.site.log(*vm, "entry"));
        logs.map(|log| log.matches("group answered").count()).sum()
    }

    /// Queries for a while; none may be lost.
    async fn query_for(&mut self, length: time::Duration) {
        let start = time::Instant::now();
        while start.elapsed() < length {
            let missing = self.query().await;
            assert!(
                missing.is_some(),
                "a query failed after {:?}",
                start.elapsed()
            );
        }
    }
}

fn service(shard: usize) -> String {
    format!("many-{shard}")
}

/// JSON configuration with one route that gathers all shards.
fn configuration() -> String {
    let shards: Vec<_> = (0..SHARDS).map(service).collect();
    let services = shards
        .iter()
        .map(|name| format!(r#"{{"Name":"{name}","MaxConnections":60}}"#));
    let services: Vec<_> = services.collect();
    format!(
        r#"{{"Version":3,"Routes":[{{"Name":"many","Hostname":"h.example",
        "PathPrefix":"/many/","RouteType":"idempotent","TimeoutMs":2500,
        "TargetLatencyMs":400,"Priority":1,"Gather":{shards:?},
        "Attempts":3,"TopK":4,"MinCoverage":0.6}}],
        "Backends":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,
        "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        services.join(",")
    )
}

/// Starts one server of each shard in its zone, and one in zone `c` that anyone may use.
async fn start_servers(site: &sync::Arc<Site>) -> sync::Arc<tokio::sync::Notify> {
    let mut servers = Vec::new();
    for shard in 0..SHARDS {
        let zone = if shard % 2 == 0 { "a" } else { "b" };
        for (number, zone) in [zone, "c"].into_iter().enumerate() {
            let server = StandInServer::start(&service(shard), number, zone, false).await;
            servers.push(server);
        }
    }
    for server in &mut servers {
        server.send_heartbeat(site, &CONTROLS, "ready").await;
    }
    let site = sync::Arc::clone(site);
    let silent = sync::Arc::new(tokio::sync::Notify::new());
    let silenced = sync::Arc::clone(&silent);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                () = tokio::time::sleep(HEARTBEAT) => {}
                () = silenced.notified() => {
                    for server in servers.iter().filter(|server| server.zone() == "b") {
                        server.be_silent();
                    }
                }
            }
            for server in &mut servers {
                server.send_heartbeat(&site, &CONTROLS, "ready").await;
            }
        }
    });
    silent
}

/// Guards against queries that are lost with an entry VM that gathers a part of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_query_is_lost_with_an_entry_vm_that_gathers_for_it() {
    let mut running = Running::start(51).await;
    let gathered = running.gathered();
    running.query_for(time::Duration::from_millis(300)).await;
    assert!(
        running.gathered() > gathered,
        "groups are gathered in zone b"
    );

    for delegate in &running.delegates {
        delegate.signal(Signal::STOP);
    }
    running.query_for(time::Duration::from_millis(2_500)).await;
    for delegate in &running.delegates {
        delegate.signal(Signal::CONT);
    }
    running.query_for(time::Duration::from_millis(300)).await;

    for delegate in running.delegates.drain(..) {
        delegate.kill();
    }
    running.query_for(time::Duration::from_millis(1_500)).await;
    let gathered = running.gathered();
    let restarted = DELEGATES.iter();
    let restarted = restarted.map(|vm| running.site.start(*vm, "entry", "b", false));
    running.delegates = restarted.collect();
    let start = time::Instant::now();
    while running.gathered() == gathered {
        running.query_for(time::Duration::from_millis(100)).await;
        assert!(start.elapsed() < WAIT_LIMIT, "restarted VMs are not asked");
    }
}

/// Guards against queries that a planned stop of another entry VM cuts, and against a stop
/// that does not wait for the groups that are under way.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_stop_of_a_gathering_entry_vm_breaks_no_query() {
    let mut running = Running::start(52).await;
    let delegates = std::mem::take(&mut running.delegates);
    let mut load = JoinSet::new();
    for number in 0..4 {
        let entry = running.entry;
        load.spawn(async move {
            let mut caller = Caller::named(&format!("load{number}-"));
            let start = time::Instant::now();
            let (mut answered, mut lost) = (0, 0);
            while start.elapsed() < time::Duration::from_secs(5) {
                match caller.query_route(entry, "/many/", SHARDS).await {
                    Some(_) => answered += 1,
                    None => lost += 1,
                }
            }
            (answered, lost)
        });
    }
    for delegate in delegates {
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        delegate.terminate();
        assert_eq!(delegate.wait(WAIT_LIMIT).await, Some(0), "it cut requests");
    }
    for (answered, lost) in load.join_all().await {
        assert_eq!(lost, 0, "{answered} queries were answered");
        assert!(answered > 0);
    }
    assert!(running.own.is_running());
}

/// Guards against work that another entry VM goes on with after the caller has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_caller_that_leaves_ends_the_groups_of_its_query() {
    let mut running = Running::start(54).await;
    running.silent.notify_one();
    let start = time::Instant::now();
    loop {
        assert!(start.elapsed() < WAIT_LIMIT, "no group was under way");
        let leaving = time::Duration::from_millis(60);
        let left = tokio::time::timeout(leaving, running.query()).await;
        if left.is_err() && running.running_at_delegates().await > 0 {
            break;
        }
    }
    let left = time::Instant::now();
    while running.running_at_delegates().await > 0 {
        // Half a second is allowed; the queries would last five times as long.
        assert!(
            left.elapsed() < time::Duration::from_millis(500),
            "it goes on"
        );
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}
