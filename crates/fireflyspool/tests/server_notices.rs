//! Backend servers that state in their answers that they leave or want a pause, with real
//! processes.

mod platform_site;

use std::{net, sync, time};

use platform_site::{Caller, Process, SHARDS, SINGLE_SERVICE, Site, StandInServer, WAIT_LIMIT};
use rustix::process::Signal;
use tokio::{sync::Mutex, task::JoinSet};

type SharedServers = sync::Arc<Mutex<Vec<StandInServer>>>;

const CONTROLS: [u8; 3] = [1, 2, 3];

/// Callers that keep many attempts in flight.
const CALLERS: usize = 16;

struct Running {
    site: sync::Arc<Site>,
    _controls: Vec<Process>,
    entries: Vec<Process>,
    addresses: Vec<net::SocketAddr>,
    servers: SharedServers,
}

impl Running {
    async fn start(network: u8) -> Self {
        let site = sync::Arc::new(Site::new(network));
        let zones = CONTROLS.iter().zip(["a", "b", "c"]);
        let controls = zones.map(|(vm, zone)| site.start(*vm, "control", zone, true));
        let controls = controls.collect();
        let entries = vec![
            site.start(11, "entry", "a", true),
            site.start(12, "entry", "a", true),
        ];
        let configuration = site.configuration(7, 1_500);
        site.order(&CONTROLS, "/fireflyspool/Config.Replace", configuration)
            .await;
        let servers = start_servers(&site).await;
        let mut caller = Caller::new();
        let addresses = caller.resolve(&site, 1, 2).await;
        for address in &addresses {
            wait_until_complete(&mut caller, *address).await;
        }
        Self {
            site,
            _controls: controls,
            entries,
            addresses,
            servers,
        }
    }
}

/// Starts two servers of each service; their heartbeats say that they are ready.
async fn start_servers(site: &sync::Arc<Site>) -> SharedServers {
    let mut servers = Vec::new();
    for service in SHARDS.iter().chain([&SINGLE_SERVICE]) {
        for number in 0..2 {
            servers.push(StandInServer::start(service, number, "a", false).await);
        }
    }
    let servers = sync::Arc::new(Mutex::new(servers));
    let (reporting, site) = (sync::Arc::clone(&servers), sync::Arc::clone(site));
    tokio::spawn(async move {
        loop {
            for server in reporting.lock().await.iter_mut() {
                server.send_heartbeat(&site, &CONTROLS, "ready").await;
            }
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
    });
    servers
}

async fn wait_until_complete(caller: &mut Caller, entry: net::SocketAddr) {
    let start = time::Instant::now();
    while caller.query_shards(entry).await != Some(0)
        || caller.send_single(entry).await != Some(200)
    {
        assert!(start.elapsed() < WAIT_LIMIT, "no complete answer");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Queries through `entry` until server `index` has run one more request.
async fn query_until_used(running: &Running, entry: net::SocketAddr, index: usize) {
    let mut caller = Caller::named("until");
    let before = running.servers.lock().await[index].total();
    let start = time::Instant::now();
    while running.servers.lock().await[index].total() == before {
        assert!(start.elapsed() < WAIT_LIMIT, "the server is not used");
        caller.query_shards(entry).await;
    }
}

/// Queries through all entry VMs; returns how many requests server `index` ran meanwhile.
async fn runs_during_queries(running: &Running, index: usize) -> usize {
    let mut caller = Caller::named("count");
    let before = running.servers.lock().await[index].total();
    for _ in 0..40 {
        for entry in &running.addresses {
            caller.query_shards(*entry).await;
        }
    }
    running.servers.lock().await[index].total() - before
}

/// A server that leaves may be cut off from the control VMs, and its last heartbeat may be
/// late: what its answer states counts, at all entry VMs, until it starts anew.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_states_that_it_leaves_gets_no_more_requests() {
    let running = Running::start(60).await;
    // The second server of a shard: the first by name is not marked at second hand.
    let index = 1;
    running.servers.lock().await[index].notices().leave();
    query_until_used(&running, running.addresses[0], index).await;
    // Several heartbeats that say the server is ready, and several views.
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    assert_eq!(runs_during_queries(&running, index).await, 0);
    running.servers.lock().await[index].restart();
    query_until_used(&running, running.addresses[0], index).await;
}

/// A statement that is wrong, and made by all servers of a service, takes them from the VM
/// that got it; the others go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn false_statements_of_all_servers_do_not_empty_a_service() {
    let running = Running::start(61).await;
    for index in 0..2 {
        running.servers.lock().await[index].notices().leave();
        query_until_used(&running, running.addresses[0], index).await;
    }
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    let mut caller = Caller::named("other");
    assert_eq!(caller.query_shards(running.addresses[0]).await, Some(1));
    assert_eq!(caller.query_shards(running.addresses[1]).await, Some(0));
}

/// Sends queries through one entry VM from many callers for `length`.
async fn press(entry: net::SocketAddr, length: time::Duration) {
    let mut callers = JoinSet::new();
    let end = time::Instant::now() + length;
    for number in 0..CALLERS {
        callers.spawn(async move {
            let mut caller = Caller::named(&format!("p{number}x"));
            while time::Instant::now() < end {
                caller.query_shards(entry).await;
            }
        });
    }
    callers.join_all().await;
}

/// Guards against requests that are queued, hedged or retried at a server that wants none,
/// while views change and after the VM was frozen in the middle.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_pause_is_heeded_with_many_attempts_in_flight() {
    let running = Running::start(62).await;
    let (entry, pause) = (running.addresses[0], time::Duration::from_millis(2_500));
    let vm = usize::from(entry.ip() == running.site.ip(12));
    for freeze in [false, true] {
        let pressing = tokio::spawn(press(entry, time::Duration::from_millis(3_500)));
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        let servers = running.servers.lock().await;
        servers[0].notices().pause(pause);
        let before = servers[0].total();
        drop(servers);
        if freeze {
            tokio::time::sleep(time::Duration::from_millis(700)).await;
            running.entries[vm].signal(Signal::STOP);
            tokio::time::sleep(time::Duration::from_millis(600)).await;
            running.entries[vm].signal(Signal::CONT);
        }
        pressing.await.expect("the callers end");
        let servers = running.servers.lock().await;
        let notices = servers[0].notices();
        assert!(!notices.told().is_empty(), "no request met the pause");
        assert!(notices.offenders().is_empty(), "{:?}", notices.offenders());
        assert!(servers[0].total() > before, "it is used after the pause");
        notices.clear();
    }
}

/// Guards against callers that wait in vain, come back too early, or get the headers that
/// backend servers send to this tier.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_is_told_when_the_first_paused_server_is_back() {
    let running = Running::start(63).await;
    let (entry, mut caller) = (running.addresses[0], Caller::named("told"));
    let servers = running.servers.lock().await;
    let desks = servers
        .iter()
        .filter(|server| server.service() == SINGLE_SERVICE);
    for (number, desk) in (0..).zip(desks) {
        let pause = time::Duration::from_millis(1_200 + 400 * number);
        desk.notices().pause(pause);
    }
    drop(servers);
    let start = time::Instant::now();
    let first_back = start + time::Duration::from_millis(1_200);
    // The first requests meet the servers, which state their pauses.
    for _ in 0..4 {
        let (_, answer) = caller.send(entry, "/one/").await;
        assert_eq!(answer.expect("an answer").status(), 503);
    }
    let (_, answer) = caller.send(entry, "/one/").await;
    let answer = answer.expect("an answer");
    let told = answer.headers()["retry-after"].to_str().expect("text");
    let told: f64 = told.parse().expect("a number of seconds");
    let left = first_back.saturating_duration_since(time::Instant::now());
    assert!(
        (told - left.as_secs_f64()).abs() < 0.2,
        "{told} s instead of {left:?}"
    );
    tokio::time::sleep(time::Duration::from_secs_f64(told)).await;
    let (_, answer) = caller.send(entry, "/one/").await;
    assert_eq!(answer.expect("an answer").status(), 200);

    let servers = running.servers.lock().await;
    for server in servers.iter() {
        server.notices().leave();
    }
    drop(servers);
    let (_, answer) = caller.send(entry, "/one/").await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert!(answer.headers().get("server-leaving").is_none());
}
