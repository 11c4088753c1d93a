//! Admission of the requests of an entry VM whose backend servers reject everything.

use std::{future, net, sync, time};

use fireflyspool::{access, backend, configuration, fleet, forward, node, registry};

const SHARDS: usize = 36;

/// Stands in for backend servers that reject every attempt.
struct Rejecting;

impl node::BackendClient for Rejecting {
    fn identify(&self, _: &mut http::HeaderMap, _: Option<&configuration::Account>) {}

    fn send(&self, _: forward::Send, _: sync::Arc<node::Message>) -> node::AttemptFuture {
        let condition = backend::Condition::default();
        Box::pin(future::ready((forward::AttemptEnd::Rejected, condition)))
    }

    fn open(&self, _: net::SocketAddr) -> node::OpenFuture {
        Box::pin(future::ready(()))
    }

    fn accepts(&self, _: net::SocketAddr, _: Option<usize>) -> node::AcceptsFuture {
        Box::pin(future::ready(Some(true)))
    }
}

fn route(host: &str, priority: u32) -> configuration::Route {
    let gather = configuration::Gather {
        shards: (0..SHARDS).map(|shard| format!("shard-{shard}")).collect(),
        top_k: 4,
        coverage: 0.95,
    };
    configuration::Route {
        name: host.to_owned(),
        host: host.to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        timeout: time::Duration::from_millis(800),
        objective: time::Duration::from_millis(200),
        priority,
        max_attempts: 2,
        open: false,
        target: configuration::Target::Gather(gather),
    }
}

/// Outcomes of requests to two routes of these priorities, and the metrics after them.
fn run(priorities: [u32; 2]) -> (Vec<forward::Outcome>, String) {
    let now = time::Instant::now();
    let mut view = fleet::View {
        generation: 1,
        members: 1,
        confirmed: Some(now),
        ..fleet::View::default()
    };
    for shard in 0..SHARDS {
        let record = registry::Record {
            version: String::new(),
            server: format!("server-{shard}"),
            born: 1,
            sequence: 1,
            service: format!("shard-{shard}"),
            address: "127.0.0.1:80".parse().expect("an address"),
            zone: "a".to_owned(),
            slots: 4,
            phase: registry::Phase::Serving,
            cold_ms: 0,
            age_ms: 0,
            silent: false,
        };
        let known = fleet::KnownServer::new(record, now);
        view.servers.insert(format!("server-{shard}"), known);
    }
    let hosts = ["first", "second"];
    let routes = hosts.iter().zip(priorities);
    let table = configuration::RoutingTable::new(configuration::Configuration {
        version: 1,
        routes: routes
            .map(|(host, priority)| route(host, priority))
            .collect(),
        services: Default::default(),
        accounts: Vec::new(),
        limits: configuration::CallerLimits::default(),
    });
    view.table = Some(sync::Arc::new(table));
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let (process, _) = node::Process::start(logger).expect("threads");
    process.view.store(sync::Arc::new(view));
    let limits = fleet::RetryLimits {
        ratio: 0.2,
        slack: 10.0,
        window: time::Duration::from_secs(10),
    };
    let fleet = fleet::Fleet::new("a".to_owned(), 1, limits);
    let client = sync::Arc::new(Rejecting);
    let forwarding =
        sync::Arc::new(node::Forwarding::new(process, fleet, client).with_ranking(true));
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let mut outcomes = Vec::new();
    // A share of 0.12 always starts: none of 120 urgent ones does once in 4 million runs.
    for number in 0..240 {
        let id = number.to_string();
        let request = forward::Request {
            id: id.clone(),
            host: hosts[number % 2].to_owned(),
            path: "/".to_owned(),
            timeout: None,
            credentials: access::Credentials::default(),
            grant: None,
        };
        let message = node::Message {
            id,
            method: http::Method::GET,
            target: http::Uri::from_static("/"),
            headers: http::HeaderMap::new(),
            body: bytes::Bytes::new(),
        };
        outcomes.push(runtime.block_on(forwarding.run(request, message)));
    }
    (outcomes, forwarding.metrics().encode())
}

fn counts(metrics: &str, name: &str) -> bool {
    metrics.contains(&format!("fireflyspool_admissions_total{{name=\"{name}\"}}"))
}

/// Guards against decisions of admission that do not reach callers and metrics, against a kind
/// that no longer starts, and against a retry time that callers do not wait for.
#[test]
fn a_shortage_is_decided_by_kind() {
    let (outcomes, metrics) = run([0, 1]);
    for name in [
        "urgent_started",
        "urgent_coverage",
        "urgent_started_in_shortage",
        "interactive_coverage",
    ] {
        assert!(counts(&metrics, name), "{name} in {metrics}");
    }
    let most = time::Duration::from_millis(300);
    for outcome in outcomes {
        let in_time = |retry_after| retry_after <= most;
        let refused =
            matches!(outcome, forward::Outcome::Refused { retry_after } if in_time(retry_after));
        assert!(refused, "nothing has run: {outcome:?}");
    }
}

/// Guards against a site with one priority whose requests are ranked.
#[test]
fn with_one_priority_nothing_is_ranked() {
    let (_, metrics) = run([1, 1]);
    assert!(
        !metrics.contains("fireflyspool_admissions_total{"),
        "{metrics}"
    );
}
