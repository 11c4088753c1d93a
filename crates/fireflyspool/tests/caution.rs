//! Requests of contents under which servers crash, at one entry VM.

use std::{sync, time};

use fireflyspool::{configuration, containment, fleet, forward, hub, registry};

const CONTENT: u64 = 7;
const SHARDS: usize = 4;
const REPLICAS: usize = 4;

const OBJECTIVE: time::Duration = time::Duration::from_millis(100);

/// An entry VM whose attempts the test ends.
struct Vm {
    fleet: fleet::Fleet,
    view: fleet::View,
    now: time::Instant,
}

/// A request at that VM.
struct Request {
    exchange: forward::Exchange,
    sends: Vec<forward::Send>,
    wake: Option<time::Instant>,
    outcome: Option<forward::Outcome>,
    reports: Vec<forward::GroupAnswer>,
}

fn success() -> forward::AttemptEnd {
    forward::AttemptEnd::Answered(forward::Response {
        status: 200,
        headers: http::HeaderMap::new(),
        signature: Some("signature".to_owned()),
        body: bytes::Bytes::new(),
    })
}

fn shards() -> Vec<String> {
    (0..SHARDS).map(|shard| format!("shard{shard}")).collect()
}

fn route(idempotent: bool, target: configuration::Target) -> sync::Arc<configuration::Route> {
    sync::Arc::new(configuration::Route {
        name: "route".to_owned(),
        host: "host".to_owned(),
        prefix: "/".to_owned(),
        idempotent,
        timeout: time::Duration::from_millis(800),
        objective: OBJECTIVE,
        priority: 0,
        max_attempts: 2,
        open: false,
        target,
    })
}

fn gather() -> sync::Arc<configuration::Route> {
    let gather = configuration::Gather {
        shards: shards(),
        top_k: 2,
        coverage: 0.7,
    };
    route(true, configuration::Target::Gather(gather))
}

fn single(idempotent: bool) -> sync::Arc<configuration::Route> {
    route(
        idempotent,
        configuration::Target::Service("shard0".to_owned()),
    )
}

impl Vm {
    fn new() -> Self {
        let now = time::Instant::now();
        let limits = fleet::RetryLimits {
            ratio: 0.2,
            slack: 1_000.0,
            window: time::Duration::from_secs(10),
        };
        let mut view = fleet::View {
            generation: 1,
            ..fleet::View::default()
        };
        for service in shards() {
            for replica in 0..REPLICAS {
                let server = format!("{service}-{replica}");
                let record = registry::Record {
                    version: String::new(),
                    server: server.clone(),
                    born: 1,
                    sequence: 1,
                    service: service.clone(),
                    address: "10.0.0.1:80".parse().expect("an address"),
                    zone: "a".to_owned(),
                    slots: 2,
                    phase: registry::Phase::Serving,
                    cold_ms: 0,
                    age_ms: 0,
                    silent: false,
                };
                view.servers
                    .insert(server, fleet::KnownServer::new(record, now));
            }
        }
        let mut fleet = fleet::Fleet::new("a".to_owned(), 1, limits);
        fleet.update(&view, now);
        Self { fleet, view, now }
    }

    /// Has the VM learn of crashes under the content: those of attempts, and of probes.
    fn learn(&mut self, attempts: usize, probes: usize) {
        let ledger = sync::Arc::make_mut(&mut self.view.contents);
        for number in 0..attempts + probes {
            let crash = containment::Crash {
                server: format!("other-{number}"),
                born: 1,
                probe: number >= attempts,
                unseen: false,
            };
            ledger.add(CONTENT, crash, self.now);
        }
        self.view.generation += 1;
        self.fleet.update(&self.view, self.now);
    }

    fn start(&mut self, route: &sync::Arc<configuration::Route>) -> Request {
        let timing = forward::Timing::new(route, None, time::Duration::ZERO, self.now);
        let route = sync::Arc::clone(route);
        let (exchange, actions) =
            forward::Exchange::start(route, CONTENT, timing, &mut self.fleet, 1, self.now);
        Request::new(exchange, actions)
    }

    fn start_group(&mut self) -> Request {
        let group = forward::Group {
            route: "route".to_owned(),
            objective: OBJECTIVE,
            cutoff: self.now + OBJECTIVE,
            deadline: self.now + OBJECTIVE * 4,
            content: CONTENT,
            top_k: 2,
            services: shards(),
        };
        let (exchange, actions) =
            forward::Exchange::start_group(&group, &mut self.fleet, 1, self.now);
        Request::new(exchange, actions)
    }

    /// Crashes reported to the control VMs, with whether a probe saw them.
    fn reported(&mut self) -> Vec<bool> {
        let observations = self.fleet.take_observations();
        let probes = observations
            .into_iter()
            .filter_map(|(_, symptom)| match symptom {
                hub::Symptom::Crashed { content, probe, .. } if content == CONTENT => Some(probe),
                _ => None,
            });
        probes.collect()
    }
}

impl Request {
    fn new(exchange: forward::Exchange, actions: Vec<forward::Action>) -> Self {
        let mut request = Self {
            exchange,
            sends: Vec::new(),
            wake: None,
            outcome: None,
            reports: Vec::new(),
        };
        request.execute(actions);
        request
    }

    fn execute(&mut self, actions: Vec<forward::Action>) {
        for action in actions {
            match action {
                forward::Action::Send(send) => self.sends.push(send),
                forward::Action::WakeAt(at) => self.wake = Some(at),
                forward::Action::Finish(outcome) => self.outcome = Some(outcome),
                forward::Action::Report(answer) => self.reports.push(answer),
                forward::Action::Delegate(_) => panic!("nothing is delegated"),
            }
        }
    }

    /// Ends the attempt that was sent as number `index`.
    fn end(&mut self, vm: &mut Vm, index: usize, end: forward::AttemptEnd) {
        let attempt = self.sends[index].attempt;
        let (fleet, now) = (&mut vm.fleet, vm.now);
        let actions = self.exchange.attempt_ended(attempt, end, fleet, 1, now);
        self.execute(actions);
    }

    /// Ends all attempts from number `first` on that were sent so far.
    fn end_from(&mut self, vm: &mut Vm, first: usize, end: &forward::AttemptEnd) {
        for index in first..self.sends.len() {
            self.end(vm, index, end.clone());
        }
    }

    /// Advances the time to the next wake-up.
    fn wake(&mut self, vm: &mut Vm) {
        vm.now = vm.now.max(self.wake.expect("it waits"));
        let actions = self.exchange.wake(&mut vm.fleet, 1, vm.now);
        self.execute(actions);
    }

    fn finish(&mut self, vm: &mut Vm) {
        self.exchange.end_caution(&mut vm.fleet, vm.now);
    }
}

/// Each shard of the query was retried after the servers of all had crashed.
#[test]
fn a_query_under_which_all_servers_crash_is_tried_at_one_more() {
    let mut vm = Vm::new();
    let mut request = vm.start(&gather());
    request.end_from(&mut vm, 0, &forward::AttemptEnd::Crashed);
    assert_eq!(request.sends.len(), SHARDS + 1, "one probe");
    request.end(&mut vm, SHARDS, forward::AttemptEnd::Crashed);
    assert_eq!(request.sends.len(), SHARDS + 1, "no attempt after it");
    assert_eq!(request.outcome, Some(forward::Outcome::Failed));
    assert_eq!(
        vm.reported(),
        [false, false, false, true],
        "a fourth changes nothing"
    );
    let next = vm.start(&gather());
    assert!(next.sends.is_empty());
    assert!(matches!(
        next.outcome,
        Some(forward::Outcome::Refused { .. })
    ));
}

/// Servers that are stopped or crash beside others that respond say nothing about a request.
#[test]
fn a_query_to_which_any_server_responds_is_retried_and_not_suspected() {
    for response_first in [true, false] {
        let mut vm = Vm::new();
        let mut request = vm.start(&gather());
        if response_first {
            request.end(&mut vm, 3, success());
        }
        for index in 0..3 {
            request.end(&mut vm, index, forward::AttemptEnd::Crashed);
        }
        if !response_first {
            request.end(&mut vm, 3, success());
        }
        assert_eq!(request.sends.len(), SHARDS + 3, "each one is retried");
        request.end_from(&mut vm, SHARDS, &success());
        assert!(matches!(
            request.outcome,
            Some(forward::Outcome::Gathered { missing: 0, .. })
        ));
        request.finish(&mut vm);
        assert_eq!(vm.reported(), [] as [bool; 0]);
        assert_eq!(vm.start(&gather()).sends.len(), SHARDS);
    }
}

/// A connection that is reset while its server goes on was no crash before either.
#[test]
fn broken_connections_and_silence_are_no_crashes() {
    let ends = [
        forward::AttemptEnd::Broken,
        forward::AttemptEnd::Unreachable,
        forward::AttemptEnd::TimedOut,
    ];
    for end in ends {
        let mut vm = Vm::new();
        for _ in 0..5 {
            let mut request = vm.start(&gather());
            request.end_from(&mut vm, 0, &end);
            request.finish(&mut vm);
        }
        assert_eq!(vm.reported(), [] as [bool; 0], "{end:?}");
        assert!(!vm.start(&gather()).sends.is_empty());
    }
}

/// Guards against innocent requests that stay slow, or are lost, after a zone was killed.
#[test]
fn an_innocent_suspect_is_served_whole_after_one_response() {
    let mut vm = Vm::new();
    vm.learn(3, 0);
    let mut request = vm.start(&gather());
    assert_eq!(request.sends.len(), 1, "one server first");
    request.end(&mut vm, 0, success());
    assert_eq!(request.sends.len(), SHARDS, "then the others");
    request.end_from(&mut vm, 1, &success());
    assert!(matches!(
        request.outcome,
        Some(forward::Outcome::Gathered { missing: 0, .. })
    ));
    assert_eq!(vm.start(&gather()).sends.len(), SHARDS, "no second probe");
    vm.learn(4, 0);
    vm.learn(0, 1);
    assert_eq!(vm.start(&gather()).sends.len(), 0, "further crashes count");
}

/// Guards against a flood of a suspect content, each request of which ends a server.
#[test]
fn one_request_at_a_time_probes_a_content() {
    let mut vm = Vm::new();
    vm.learn(1, 0);
    let mut first = vm.start(&single(true));
    assert_eq!(first.sends.len(), 1);
    for _ in 0..10 {
        let other = vm.start(&single(true));
        assert!(matches!(
            other.outcome,
            Some(forward::Outcome::Refused { .. })
        ));
    }
    first.end(&mut vm, 0, success());
    assert_eq!(vm.start(&single(true)).sends.len(), 1);
}

/// Guards against a probe of a caller that has left, after which nobody may probe.
#[test]
fn a_probe_that_is_dropped_is_over_at_its_deadline() {
    let mut vm = Vm::new();
    vm.learn(1, 0);
    drop(vm.start(&single(true)));
    vm.now += time::Duration::from_secs(1);
    assert_eq!(vm.start(&single(true)).sends.len(), 1);
}

/// Guards against work that is run again because its server crashed.
#[test]
fn a_non_idempotent_request_is_not_sent_again_after_a_crash() {
    let mut vm = Vm::new();
    for number in 0..3 {
        let mut request = vm.start(&single(false));
        assert_eq!(request.sends.len(), 1, "request {number}");
        request.end(&mut vm, 0, forward::AttemptEnd::Crashed);
        assert_eq!(request.outcome, Some(forward::Outcome::Failed));
        request.finish(&mut vm);
    }
    let refused = vm.start(&single(false));
    assert!(refused.sends.is_empty(), "three servers have ended");
    let Some(forward::Outcome::Refused { retry_after }) = refused.outcome else {
        panic!("{:?}", refused.outcome);
    };
    assert!(
        retry_after > time::Duration::from_secs(30),
        "{retry_after:?}"
    );
}

/// A silent server in the wave kept all parked shards waiting until the deadline.
#[test]
fn a_slow_attempt_delays_the_probe_only_as_long_as_a_hedge() {
    let mut vm = Vm::new();
    let mut request = vm.start(&gather());
    let start = vm.now;
    for index in 0..3 {
        request.end(&mut vm, index, forward::AttemptEnd::Crashed);
    }
    assert_eq!(request.sends.len(), SHARDS, "the last one may respond");
    while request.sends.len() == SHARDS && request.outcome.is_none() {
        request.wake(&mut vm);
    }
    assert!(vm.now - start <= OBJECTIVE, "{:?}", vm.now - start);
    assert_eq!(request.sends.len(), SHARDS + 1);
}

/// Guards against two attempts a shard, one by each of the VMs that share a query.
#[test]
fn a_vm_that_gathers_a_group_probes_nothing() {
    let mut vm = Vm::new();
    let mut group = vm.start_group();
    group.end_from(&mut vm, 0, &forward::AttemptEnd::Crashed);
    assert_eq!(group.sends.len(), SHARDS);
    let answer = group.reports.last().expect("an answer");
    assert!(
        answer
            .missing
            .iter()
            .all(|shard| shard.crashed && !shard.running)
    );
    assert_eq!(vm.reported(), [false; 3]);
    let next = vm.start_group();
    assert!(next.sends.is_empty(), "the content is suspect here");
    let answer = next.reports.last().expect("an answer");
    assert!(
        answer
            .missing
            .iter()
            .all(|shard| shard.crashed && !shard.ran)
    );
}
