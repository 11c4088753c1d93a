//! Requests that are given up at an entry VM: what it still learns of crashes.

use std::{
    net,
    sync::{self, mpsc},
    time,
};

use fireflyspool::{
    access, backend, configuration, containment, control, fleet, forward, hub, node, registry,
};

/// Time after which an attempt ends whose request is given up before.
const RUN_TIME: time::Duration = time::Duration::from_millis(150);
const PATIENCE: time::Duration = time::Duration::from_millis(50);
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(5);

/// How the attempts at one backend server end.
#[derive(Clone, Copy)]
enum End {
    Answered,
    Crashed,
    CrashedLate,
    Broken,
}

/// Stands in for backend servers; each service has one, and ends attempts in its own way.
struct Servers(Vec<End>);

impl node::BackendClient for Servers {
    fn identify(&self, _: &mut http::HeaderMap, _: Option<&configuration::Account>) {}

    fn send(&self, send: forward::Send, _: sync::Arc<node::Message>) -> node::AttemptFuture {
        let number: usize = send.service.parse().expect("a number");
        let end = self.0[number];
        Box::pin(async move {
            if matches!(end, End::Answered | End::CrashedLate) {
                tokio::time::sleep(RUN_TIME).await;
            }
            let response = forward::Response {
                status: 200,
                headers: http::HeaderMap::new(),
                signature: Some(send.service),
                body: bytes::Bytes::new(),
            };
            let end = match end {
                End::Answered => forward::AttemptEnd::Answered(response),
                End::Crashed | End::CrashedLate => forward::AttemptEnd::Crashed,
                End::Broken => forward::AttemptEnd::Broken,
            };
            (end, backend::Condition::default())
        })
    }

    fn open(&self, _: net::SocketAddr) -> node::OpenFuture {
        Box::pin(std::future::ready(()))
    }

    fn accepts(&self, _: net::SocketAddr, _: Option<usize>) -> node::AcceptsFuture {
        Box::pin(std::future::ready(None))
    }
}

struct Vm {
    runtime: tokio::runtime::Runtime,
    process: sync::Arc<node::Process>,
    events: mpsc::Receiver<control::Event>,
    forwarding: sync::Arc<node::Forwarding>,
}

fn message() -> node::Message {
    node::Message {
        id: "1".to_owned(),
        method: http::Method::GET,
        target: http::Uri::from_static("/"),
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::new(),
    }
}

fn view(services: &[String], crashes: usize, now: time::Instant) -> fleet::View {
    let gather = configuration::Gather {
        shards: services.to_vec(),
        top_k: 4,
        coverage: 1.0,
    };
    let table = configuration::RoutingTable::new(configuration::Configuration {
        version: 1,
        routes: vec![configuration::Route {
            name: "all".to_owned(),
            host: "h.example".to_owned(),
            prefix: "/".to_owned(),
            idempotent: true,
            timeout: time::Duration::from_secs(2),
            objective: time::Duration::from_millis(500),
            priority: 0,
            max_attempts: 1,
            open: false,
            target: configuration::Target::Gather(gather),
        }],
        services: Default::default(),
        accounts: Vec::new(),
        limits: configuration::CallerLimits::default(),
    });
    let mut contents = containment::Ledger::default();
    for number in 0..crashes {
        let crash = containment::Crash {
            server: format!("other-{number}"),
            born: 1,
            probe: false,
            unseen: false,
        };
        contents.add(message().fingerprint(), crash, now);
    }
    let mut view = fleet::View {
        generation: 1,
        members: 1,
        confirmed: Some(now),
        table: Some(sync::Arc::new(table)),
        contents: sync::Arc::new(contents),
        ..fleet::View::default()
    };
    for service in services {
        let record = registry::Record {
            version: String::new(),
            server: format!("s{service}"),
            born: 1,
            sequence: 1,
            service: service.clone(),
            address: "127.0.0.1:80".parse().expect("an address"),
            zone: "a".to_owned(),
            slots: 4,
            phase: registry::Phase::Serving,
            cold_ms: 0,
            age_ms: 0,
            silent: false,
        };
        let known = fleet::KnownServer::new(record, now);
        view.servers.insert(format!("s{service}"), known);
    }
    view
}

impl Vm {
    /// VM that knows of `crashes` under the content, with a service for each of `ends`.
    fn new(ends: &[End], crashes: usize) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let (process, events) = node::Process::start(logger).expect("threads");
        let services: Vec<_> = (0..ends.len()).map(|number| number.to_string()).collect();
        let view = view(&services, crashes, time::Instant::now());
        process.view.store(sync::Arc::new(view));
        let limits = fleet::RetryLimits {
            ratio: 1.0,
            slack: 1_000.0,
            window: time::Duration::from_secs(10),
        };
        let fleet = fleet::Fleet::new("a".to_owned(), 1, limits);
        let client = sync::Arc::new(Servers(ends.to_vec()));
        let forwarding = node::Forwarding::new(sync::Arc::clone(&process), fleet, client);
        Self {
            runtime,
            process,
            events,
            forwarding: sync::Arc::new(forwarding),
        }
    }

    /// Runs a request until it ends or its caller leaves.
    fn run(&self) -> Option<forward::Outcome> {
        let request = forward::Request {
            id: "1".to_owned(),
            host: "h.example".to_owned(),
            path: "/".to_owned(),
            timeout: None,
            credentials: access::Credentials::default(),
            grant: None,
        };
        let answer = self.forwarding.run(request, message());
        let patient = async { tokio::time::timeout(PATIENCE, answer).await.ok() };
        self.runtime.block_on(patient)
    }

    /// Waits for the report of a crash; returns whether its attempt was a probe, and unseen.
    fn reported(&self) -> Option<(bool, bool)> {
        let start = time::Instant::now();
        while start.elapsed() < WAIT_LIMIT {
            let event = self.events.recv_timeout(RUN_TIME * 2).ok()?;
            if let control::Event::Observed((_, hub::Symptom::Crashed { probe, unseen, .. })) =
                event
            {
                return Some((probe, unseen));
            }
        }
        None
    }
}

/// A probe ended with its caller, so contents whose callers leave were never found guilty.
#[test]
fn a_probe_goes_on_without_its_caller() {
    let vm = Vm::new(&[End::CrashedLate, End::CrashedLate], 1);
    assert!(vm.run().is_none(), "the caller leaves");
    assert_eq!(vm.reported(), Some((true, false)));
}

/// Guards against a suspect content that is never cleared because its callers leave.
#[test]
fn a_probe_clears_its_content_without_its_caller() {
    let vm = Vm::new(&[End::Answered], 1);
    assert!(vm.run().is_none(), "the caller leaves");
    std::thread::sleep(RUN_TIME * 2);
    // It is accepted like any other: a second request is not refused beside the first.
    assert!(vm.run().is_none());
    assert!(vm.run().is_none(), "no probe is under way");
}

/// A crash that an attempt had met was lost with a caller that left before it was reported.
#[test]
fn a_crash_that_was_met_is_reported_although_the_caller_leaves() {
    let vm = Vm::new(&[End::Crashed, End::CrashedLate], 0);
    assert!(vm.run().is_none(), "the other attempt is under way");
    assert_eq!(vm.reported(), Some((false, false)));
}

/// A crash of an attempt that went on after the answer to the caller was ignored.
#[test]
fn a_crash_after_the_outcome_is_reported() {
    let vm = Vm::new(&[End::Broken, End::CrashedLate], 0);
    assert_eq!(vm.run(), Some(forward::Outcome::Failed));
    assert_eq!(vm.reported(), Some((false, false)));
    drop(vm.process);
}
