//! End-to-end tests of the keys of client accounts, with real processes.

mod platform_site;

use std::{net, sync, time};

use platform_site::{Process, SHARDS, SINGLE_SERVICE, Site, StandInServer};
use rustix::process::Signal;
use tokio::sync::Mutex;

type SharedServers = sync::Arc<Mutex<Vec<StandInServer>>>;

const CONTROLS: [u8; 3] = [1, 2, 3];
const ENTRIES: [u8; 2] = [11, 12];

/// Time from the acknowledgement of a configuration after which a key that it withdraws must not
/// work.
const BOUND: time::Duration = time::Duration::from_secs(5);

/// Time after which an entry VM that no control VM confirms must refuse keys.
const SERVING_TIME: time::Duration = time::Duration::from_secs(4);

/// Services with servers in zone `b` only, enough for a group that another entry VM gathers.
const FAR: [&str; 4] = ["far-1", "far-2", "far-3", "far-4"];

/// Keys of the accounts; none may appear in a log line or metric.
const KEYS: [&str; 3] = ["alpha-9f86d081", "beta-60303ae2", "gamma-fd61a03a"];

/// Site with the processes and servers of a test.
struct Running {
    site: sync::Arc<Site>,
    controls: Vec<Process>,
    entries: Vec<Process>,
    servers: SharedServers,
    http: reqwest::Client,
    requests: usize,
}

impl Running {
    async fn start(network: u8) -> Self {
        let mut site = Site::new(network);
        site.bounds = "StrictRevoke = true\nRevokeMs = 5000\n";
        let site = sync::Arc::new(site);
        let controls = CONTROLS.iter().zip(["a", "b", "c"]);
        let controls = controls.map(|(vm, zone)| site.start(*vm, "control", zone, true));
        let controls = controls.collect();
        let entries = ENTRIES.into_iter().zip(["a", "b"]);
        let entries = entries
            .map(|(vm, zone)| site.start(vm, "entry", zone, true))
            .collect();
        let mut servers = Vec::new();
        for service in SHARDS.iter().chain([&SINGLE_SERVICE]) {
            servers.push(StandInServer::start(service, 0, "a", false).await);
        }
        for service in FAR {
            servers.push(StandInServer::start(service, 0, "b", false).await);
        }
        let servers = sync::Arc::new(Mutex::new(servers));
        let (reporting, reported) = (sync::Arc::clone(&servers), sync::Arc::clone(&site));
        tokio::spawn(async move {
            loop {
                for server in reporting.lock().await.iter_mut() {
                    for vm in CONTROLS {
                        let control = reported.control(vm);
                        let http = &reported.http;
                        if server.send_heartbeat_once(http, control, "ready", 0).await {
                            break;
                        }
                    }
                }
                tokio::time::sleep(time::Duration::from_millis(200)).await;
            }
        });
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(time::Duration::from_secs(20))
            .build()
            .expect("a client");
        Self {
            site,
            controls,
            entries,
            servers,
            http,
            requests: 0,
        }
    }

    /// Replaces the configuration by one whose accounts have these keys; returns when it was
    /// acknowledged at the latest.
    async fn configure(&self, version: u64, keys: [&str; 2]) -> time::Instant {
        let tenants = format!(
            r#"{{"Tenants":[{{"Name":"first","ApiKeys":["{}"]}},
            {{"Name":"other","ApiKeys":["{}"],"Priority":0}}],"#,
            keys[0], keys[1]
        );
        let open = r#""Routes":[{"Name":"open","Hostname":"h.example","PathPrefix":"/open/",
            "RouteType":"idempotent","TimeoutMs":2000,"TargetLatencyMs":400,"Priority":2,
            "Backend":"desk","Attempts":2,"NoAuth":true},{"Name":"far","Hostname":"h.example",
            "PathPrefix":"/far/","RouteType":"idempotent","TimeoutMs":2000,"TargetLatencyMs":400,
            "Priority":2,"Gather":["far-1","far-2","far-3","far-4"],"Attempts":2,"TopK":4,
            "MinCoverage":1},"#;
        let services = FAR.map(|name| format!(r#"{{"Name":"{name}","MaxConnections":60}}"#));
        let services = format!(r#""Backends":[{},"#, services.join(","));
        let text = self.site.configuration(version, 1_500);
        let text = text.replacen('{', &tenants, 1);
        let text = text.replacen(r#""Routes":["#, open, 1);
        let text = text.replacen(r#""Backends":["#, &services, 1);
        let path = "/fireflyspool/Config.Replace";
        self.site.order(&CONTROLS, path, text).await;
        time::Instant::now()
    }

    fn entry(&self, index: usize) -> net::SocketAddr {
        self.site.address(ENTRIES[index], 1)
    }

    /// Sends a request with these headers; returns its id and the answer.
    async fn send(
        &mut self,
        entry: usize,
        path: &str,
        headers: &[(&str, &str)],
    ) -> (String, Option<reqwest::Response>) {
        self.requests += 1;
        let id = format!("r{}", self.requests);
        let sent = self
            .http
            .get(format!("http://{}{path}{id}", self.entry(entry)));
        let sent = sent.header("host", "h.example").header("x-request-id", &id);
        let sent = headers
            .iter()
            .fold(sent, |sent, (name, value)| sent.header(*name, *value));
        (id, sent.send().await.ok())
    }

    /// Sends a request with a key; returns its id and the status, 0 without an answer.
    async fn send_key(&mut self, entry: usize, path: &str, key: &str) -> (String, u16) {
        let value = format!("Bearer {key}");
        let headers = [("authorization", value.as_str()), ("x-tenant-id", "forged")];
        let (id, answer) = self.send(entry, path, &headers).await;
        (id, answer.map_or(0, |answer| answer.status().as_u16()))
    }

    /// Sends requests with a key until one ends with a status; panics after `limit`.
    async fn await_status(
        &mut self,
        (entry, key): (usize, &str),
        status: u16,
        limit: time::Duration,
    ) {
        let start = time::Instant::now();
        loop {
            let last = self.send_key(entry, "/all/", key).await.1;
            if last == status {
                return;
            }
            assert!(
                start.elapsed() < limit,
                "entry VM {entry} answers {last} after {limit:?}"
            );
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }

    /// Whether a request ran on any server.
    async fn has_run(&self, id: &str) -> bool {
        let servers = self.servers.lock().await;
        servers
            .iter()
            .any(|server| server.executions().contains_key(id))
    }

    /// Accounts that the servers saw for a request; panics if one saw credentials.
    async fn accounts_of(&self, id: &str) -> Vec<String> {
        let servers = self.servers.lock().await;
        let seen = servers.iter().flat_map(StandInServer::identities);
        let seen: Vec<_> = seen.filter(|identity| identity.id == id).collect();
        assert!(
            seen.iter().all(|identity| identity.credentials.is_none()),
            "{seen:?}"
        );
        seen.into_iter()
            .filter_map(|identity| identity.account)
            .collect()
    }

    /// Panics if a key is in a log or a metric of any process.
    async fn search_for_keys(&self) {
        let start = time::Instant::now();
        // Processes write their logs a moment later.
        while !self
            .site
            .log(ENTRIES[0], "entry")
            .contains("request unauthorized")
        {
            assert!(
                start.elapsed() < platform_site::WAIT_LIMIT,
                "no request was denied"
            );
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        let mut texts = Vec::new();
        texts.extend(CONTROLS.map(|vm| self.site.log(vm, "control")));
        for (index, vm) in ENTRIES.into_iter().enumerate() {
            texts.push(self.site.log(vm, "entry"));
            let metrics = self
                .http
                .get(format!("http://{}/metrics", self.site.address(vm, 3)));
            let answer = metrics.send().await.expect("an answer");
            let metrics = answer.text().await.expect("a body");
            assert!(
                metrics.contains("fireflyspool_requests"),
                "entry VM {index}: {metrics}"
            );
            texts.push(metrics);
        }
        for text in &texts {
            assert!(!text.is_empty());
            let found: Vec<_> = KEYS.iter().filter(|key| text.contains(**key)).collect();
            assert!(
                found.is_empty(),
                "keys {found:?} are in {} bytes of logs",
                text.len()
            );
        }
    }
}

/// Guards against a key that a server sees, an account that the caller chooses, requests that run
/// without a key, and keys in logs and metrics.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_name_accounts_and_are_seen_by_nobody_else() {
    let mut running = Running::start(76).await;
    running.configure(7, [KEYS[0], KEYS[1]]).await;
    for entry in 0..ENTRIES.len() {
        running
            .await_status((entry, KEYS[0]), 200, platform_site::WAIT_LIMIT)
            .await;
    }
    for (path, count) in [("/all/", SHARDS.len()), ("/one/", 1)] {
        for (key, account) in [(KEYS[0], "first"), (KEYS[1], "other")] {
            let (id, status) = running.send_key(0, path, key).await;
            assert_eq!(status, 200);
            assert_eq!(running.accounts_of(&id).await, vec![account; count]);
        }
    }
    let bearer = format!("Bearer {}", KEYS[0]);
    let denied: [&[(&str, &str)]; 5] = [
        &[],
        &[("authorization", KEYS[0])],
        &[("authorization", "Bearer unknown")],
        &[("authorization", "Basic alpha-9f86d081")],
        &[("authorization", &bearer), ("authorization", &bearer)],
    ];
    for headers in denied {
        let (id, answer) = running.send(0, "/all/", headers).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status().as_u16(), 401, "{headers:?}");
        assert_eq!(answer.headers()["www-authenticate"], "Bearer");
        assert!(!running.has_run(&id).await);
    }
    let (id, status) = running.send_key(0, "/open/", KEYS[0]).await;
    assert_eq!(status, 200);
    assert_eq!(running.accounts_of(&id).await, Vec::<String>::new());
    let (_, answer) = running.send(0, "/nowhere/", &[]).await;
    assert_eq!(answer.expect("an answer").status().as_u16(), 404);
    running.search_for_keys().await;
}

/// Guards against a withdrawn key that works later than the bound, on an entry VM that is
/// connected, stopped and continued, or cut off from the control VMs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_key_stops_working_within_the_bound() {
    let mut running = Running::start(77).await;
    running.configure(7, [KEYS[0], KEYS[1]]).await;
    for entry in 0..ENTRIES.len() {
        running
            .await_status((entry, KEYS[0]), 200, platform_site::WAIT_LIMIT)
            .await;
    }

    running.entries[1].signal(Signal::STOP);
    let acknowledged = running.configure(8, [KEYS[2], KEYS[1]]).await;
    running.await_status((0, KEYS[0]), 401, BOUND).await;
    running.await_status((0, KEYS[2]), 200, BOUND).await;
    tokio::time::sleep_until((acknowledged + BOUND).into()).await;
    let address = running.entry(1);
    // It waits in the queue of the listener until the process goes on.
    let early = running.http.get(format!("http://{address}/all/early"));
    let early = early
        .header("host", "h.example")
        .header("x-request-id", "early");
    let early = early.header("authorization", format!("Bearer {}", KEYS[0]));
    let early = tokio::spawn(early.send());
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    running.entries[1].signal(Signal::CONT);
    let mut sent = vec!["early".to_owned()];
    let start = time::Instant::now();
    while start.elapsed() < time::Duration::from_secs(2) {
        let (id, status) = running.send_key(1, "/all/", KEYS[0]).await;
        assert!(matches!(status, 401 | 503), "{status}");
        sent.push(id);
    }
    let early = early.await.expect("no panic").expect("an answer");
    assert!(matches!(early.status().as_u16(), 401 | 503), "{early:?}");
    for id in &sent {
        assert!(!running.has_run(id).await, "{id} ran");
    }
    running
        .await_status((1, KEYS[2]), 200, platform_site::WAIT_LIMIT)
        .await;

    // Without control VMs, no view is confirmed, and no key can be known to be valid.
    for control in running.controls.drain(..) {
        control.kill();
    }
    let killed = time::Instant::now();
    for entry in 0..ENTRIES.len() {
        let left = SERVING_TIME.saturating_sub(killed.elapsed());
        running.await_status((entry, KEYS[2]), 503, left).await;
        let (id, status) = running.send_key(entry, "/all/", KEYS[2]).await;
        assert_eq!((status, running.has_run(&id).await), (503, false));
        assert_eq!(running.send_key(entry, "/all/", "unknown").await.1, 503);
        assert_eq!(running.send_key(entry, "/open/", KEYS[2]).await.1, 200);
        let (_, answer) = running.send(entry, "/all/", &[]).await;
        assert_eq!(answer.expect("an answer").status().as_u16(), 401);
    }
    running.search_for_keys().await;
}

/// Guards against a key that travels to another entry VM in a group, and from there to servers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn groups_carry_the_account_and_no_key() {
    let mut running = Running::start(78).await;
    running.configure(7, [KEYS[0], KEYS[1]]).await;
    let start = time::Instant::now();
    let gathered = |running: &Running| {
        let log = running.site.log(ENTRIES[1], "entry");
        log.matches("group answered").count()
    };
    while gathered(&running) < 3 {
        assert!(
            start.elapsed() < platform_site::WAIT_LIMIT,
            "no group was delegated"
        );
        let (id, status) = running.send_key(0, "/far/", KEYS[0]).await;
        if status == 200 {
            assert_eq!(running.accounts_of(&id).await, vec!["first"; FAR.len()]);
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    assert!(!running.site.log(ENTRIES[1], "entry").contains(KEYS[0]));
}
