//! Attempts of one request on an entry VM whose traffic thread is busy.

use std::{
    future, net,
    sync::{self, atomic},
    thread, time,
};

use fireflyspool::{access, backend, configuration, fleet, forward, node, registry};

const SHARDS: usize = 36;
const OBJECTIVE: time::Duration = time::Duration::from_millis(200);

/// Time after which every backend server has responded; below the delay of any hedge.
const RESPONSE_TIME: time::Duration = time::Duration::from_millis(5);

/// Longer than the delay of a hedge, and over long before the cutoff.
const BUSY_TIME: time::Duration = time::Duration::from_millis(90);

/// Stands in for backend servers that all respond after [`RESPONSE_TIME`].
#[derive(Default)]
struct Servers {
    sends: atomic::AtomicUsize,
}

impl node::BackendClient for Servers {
    fn identify(&self, _: &mut http::HeaderMap, _: Option<&configuration::Account>) {}

    fn send(&self, send: forward::Send, _: sync::Arc<node::Message>) -> node::AttemptFuture {
        self.sends.fetch_add(1, atomic::Ordering::Relaxed);
        Box::pin(async move {
            tokio::time::sleep(RESPONSE_TIME).await;
            let response = forward::Response {
                status: 200,
                headers: http::HeaderMap::new(),
                signature: Some(send.service),
                body: bytes::Bytes::from_static(&[1; 16]),
            };
            (
                forward::AttemptEnd::Answered(response),
                backend::Condition::default(),
            )
        })
    }

    fn open(&self, _: net::SocketAddr) -> node::OpenFuture {
        Box::pin(future::ready(()))
    }

    fn accepts(&self, _: net::SocketAddr, _: Option<usize>) -> node::AcceptsFuture {
        Box::pin(future::ready(Some(true)))
    }
}

fn view(now: time::Instant) -> fleet::View {
    let shards: Vec<_> = (0..SHARDS).map(|shard| format!("shard-{shard}")).collect();
    let mut view = fleet::View {
        generation: 1,
        members: 1,
        confirmed: Some(now),
        ..fleet::View::default()
    };
    for service in &shards {
        for zone in ["a", "b"] {
            let server = format!("{service}-{zone}");
            let record = registry::Record {
                version: String::new(),
                server: server.clone(),
                born: 1,
                sequence: 1,
                service: service.clone(),
                address: "127.0.0.1:80".parse().expect("an address"),
                zone: zone.to_owned(),
                slots: 4,
                phase: registry::Phase::Serving,
                cold_ms: 0,
                age_ms: 0,
                silent: false,
            };
            let known = fleet::KnownServer::new(record, now);
            view.servers.insert(server, known);
        }
    }
    let gather = configuration::Gather {
        shards,
        top_k: 4,
        coverage: 1.0,
    };
    let route = configuration::Route {
        name: "all".to_owned(),
        host: "h.example".to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        timeout: time::Duration::from_secs(5),
        objective: OBJECTIVE,
        priority: 0,
        max_attempts: 2,
        open: false,
        target: configuration::Target::Gather(gather),
    };
    let table = configuration::RoutingTable::new(configuration::Configuration {
        version: 1,
        routes: vec![route],
        services: Default::default(),
        accounts: Vec::new(),
        limits: configuration::CallerLimits::default(),
    });
    view.table = Some(sync::Arc::new(table));
    view
}

fn forwarding(servers: &sync::Arc<Servers>) -> sync::Arc<node::Forwarding> {
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let (process, _) = node::Process::start(logger).expect("threads");
    process
        .view
        .store(sync::Arc::new(view(time::Instant::now())));
    let limits = fleet::RetryLimits {
        ratio: 1.0,
        slack: 1_000.0,
        window: time::Duration::from_secs(10),
    };
    let fleet = fleet::Fleet::new("a".to_owned(), 1, limits);
    let client = sync::Arc::clone(servers);
    sync::Arc::new(node::Forwarding::new(process, fleet, client))
}

fn request(id: &str) -> (forward::Request, node::Message) {
    let request = forward::Request {
        id: id.to_owned(),
        host: "h.example".to_owned(),
        path: "/".to_owned(),
        timeout: None,
        credentials: access::Credentials::default(),
        grant: None,
    };
    let message = node::Message {
        id: id.to_owned(),
        method: http::Method::GET,
        target: http::Uri::from_static("/"),
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::new(),
    };
    (request, message)
}

/// The hedges of a late entry VM made it later still: all responses have arrived when the
/// hedges are due, and none has been read.
#[test]
fn a_busy_entry_vm_does_not_hedge_attempts_whose_responses_have_arrived() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let servers = sync::Arc::new(Servers::default());
    let forwarding = forwarding(&servers);
    for number in 1..=5 {
        let (running, (request, message)) =
            (sync::Arc::clone(&forwarding), request(&number.to_string()));
        let answer = runtime.spawn(async move { running.run(request, message).await });
        runtime.spawn(async {
            // All attempts have been sent, and none has been answered.
            tokio::time::sleep(time::Duration::from_millis(1)).await;
            thread::sleep(BUSY_TIME);
        });
        let outcome = runtime.block_on(answer).expect("the request ends");
        assert!(
            matches!(outcome, forward::Outcome::Gathered { missing: 0, .. }),
            "{outcome:?}"
        );
        let sends = servers.sends.load(atomic::Ordering::Relaxed);
        assert_eq!(sends, number * SHARDS, "one attempt for each shard");
    }
}
