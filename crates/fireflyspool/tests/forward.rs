//! One request on its way: attempts, hedges, retries and partial answers.

use std::{sync, time};

use fireflyspool::{configuration, fleet, forward, registry};

const OBJECTIVE: time::Duration = time::Duration::from_millis(100);

fn answer(body: &[u8]) -> forward::AttemptEnd {
    forward::AttemptEnd::Answered(forward::Response {
        status: 200,
        headers: http::HeaderMap::new(),
        signature: Some(format!("signature-{}", body.first().unwrap_or(&0))),
        body: body.to_vec().into(),
    })
}

fn failure(status: u16) -> forward::AttemptEnd {
    forward::AttemptEnd::Answered(forward::Response {
        status,
        headers: http::HeaderMap::new(),
        signature: Some("signature".to_owned()),
        body: bytes::Bytes::new(),
    })
}

/// One request against servers that the test answers for.
struct Run {
    fleet: fleet::Fleet,
    exchange: forward::Exchange,
    sends: Vec<forward::Send>,
    wake: Option<time::Instant>,
    outcome: Option<forward::Outcome>,
    start: time::Instant,
    now: time::Instant,
}

impl Run {
    fn start(target: configuration::Target, idempotent: bool, replicas: usize) -> Self {
        let now = time::Instant::now();
        let limits = fleet::RetryLimits {
            ratio: 0.2,
            slack: 1_000.0,
            window: time::Duration::from_secs(10),
        };
        let mut fleet = fleet::Fleet::new("a".to_owned(), 1, limits);
        let mut view = fleet::View {
            generation: 1,
            ..fleet::View::default()
        };
        for service in target.services() {
            for replica in 0..replicas {
                let server = format!("{service}-{replica}");
                let record = registry::Record {
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
        fleet.update(&view, now);
        let route = configuration::Route {
            name: "route".to_owned(),
            host: "host".to_owned(),
            prefix: "/".to_owned(),
            idempotent,
            timeout: time::Duration::from_millis(800),
            objective: OBJECTIVE,
            priority: 0,
            max_attempts: 2,
            target,
        };
        let timing = forward::Timing::new(&route, None, now);
        let route = sync::Arc::new(route);
        let (exchange, actions) = forward::Exchange::start(route, timing, &mut fleet, 1, now);
        let mut run = Self {
            fleet,
            exchange,
            sends: Vec::new(),
            wake: None,
            outcome: None,
            start: now,
            now,
        };
        run.execute(actions);
        run
    }

    fn gather(shards: usize, coverage: f64, replicas: usize) -> Self {
        let shards = (0..shards).map(|shard| format!("shard{shard}")).collect();
        let gather = configuration::Gather {
            shards,
            top_k: 2,
            coverage,
        };
        Self::start(configuration::Target::Gather(gather), true, replicas)
    }

    fn single(idempotent: bool, replicas: usize) -> Self {
        let target = configuration::Target::Service("service".to_owned());
        Self::start(target, idempotent, replicas)
    }

    fn execute(&mut self, actions: Vec<forward::Action>) {
        for action in actions {
            match action {
                forward::Action::Send(send) => self.sends.push(send),
                forward::Action::WakeAt(at) => self.wake = Some(at),
                forward::Action::Finish(outcome) => {
                    assert!(self.outcome.is_none(), "one answer a request");
                    self.outcome = Some(outcome);
                }
            }
        }
    }

    fn end(&mut self, send: usize, end: forward::AttemptEnd) {
        let attempt = self.sends[send].attempt;
        let actions = self
            .exchange
            .attempt_ended(attempt, end, &mut self.fleet, 7, self.now);
        self.execute(actions);
    }

    /// Lets time pass, with every wake that is due on the way.
    fn pass(&mut self, millis: u64) {
        let until = self.start + time::Duration::from_millis(millis);
        while let Some(wake) = self.wake.filter(|wake| *wake <= until) {
            if self.outcome.is_some() {
                break;
            }
            self.now = self.now.max(wake);
            self.wake = None;
            let actions = self.exchange.wake(&mut self.fleet, 7, self.now);
            self.execute(actions);
        }
        self.now = until;
    }

    fn servers_of(&self, service: &str) -> Vec<&str> {
        let sends = self.sends.iter().filter(|send| send.service == service);
        sends.map(|send| send.server.as_str()).collect()
    }
}

/// Guards against a straggler that sets the latency of the whole query.
#[test]
fn an_overdue_attempt_is_hedged_once_on_another_server() {
    let mut run = Run::gather(2, 1.0, 3);
    assert_eq!(run.sends.len(), 2, "one send a shard");
    run.end(0, answer(&[1; 16]));
    run.pass(60);
    assert_eq!(run.sends.len(), 3, "one hedge for the open shard");
    let open = run.sends[1].service.clone();
    let servers = run.servers_of(&open);
    assert_ne!(servers[0], servers[1]);
    run.pass(80);
    assert_eq!(run.sends.len(), 3, "the route allows two attempts");
    run.end(2, answer(&[2; 16]));
    assert!(matches!(
        run.outcome,
        Some(forward::Outcome::Gathered { missing: 0, .. })
    ));
}

/// Guards against a non-idempotent request that runs twice, or is called not run after a send.
#[test]
fn a_non_idempotent_request_is_sent_again_only_if_it_did_not_run() {
    let mut run = Run::single(false, 3);
    run.pass(90);
    assert_eq!(run.sends.len(), 1, "no hedge");
    run.end(0, forward::AttemptEnd::Broken);
    assert_eq!(run.sends.len(), 1);
    assert_eq!(run.outcome, Some(forward::Outcome::Failed));

    let mut run = Run::single(false, 3);
    run.end(0, forward::AttemptEnd::Rejected);
    run.pass(10);
    assert_eq!(run.sends.len(), 2, "a refused attempt did not run");
    run.end(1, forward::AttemptEnd::TimedOut);
    assert_ne!(run.sends[0].server, run.sends[1].server);
    assert_eq!(run.outcome, Some(forward::Outcome::Failed));
}

/// Guards against the word "not run" for a request that may have run, and for
/// its absence where callers could come back.
#[test]
fn only_a_request_that_never_ran_is_refused() {
    let mut run = Run::single(false, 2);
    run.end(0, forward::AttemptEnd::Unreachable);
    run.pass(10);
    run.end(1, forward::AttemptEnd::WrongServer);
    run.pass(20);
    assert!(matches!(
        run.outcome,
        Some(forward::Outcome::Refused { .. })
    ));

    let mut run = Run::single(true, 2);
    run.end(0, forward::AttemptEnd::Broken);
    run.end(1, forward::AttemptEnd::Rejected);
    run.pass(20);
    assert_eq!(run.outcome, Some(forward::Outcome::Failed));
}

/// Guards against a backend server's failure that is hidden or altered.
#[test]
fn the_last_failure_of_a_server_is_passed_on_unchanged() {
    let mut run = Run::single(true, 2);
    run.end(0, failure(500));
    run.end(1, failure(503));
    let Some(forward::Outcome::Passed(passed)) = &run.outcome else {
        panic!("{:?}", run.outcome);
    };
    assert_eq!(passed.status, 503);
}

/// Guards against a late whole answer where a partial one in time is worth more.
#[test]
fn a_sufficient_answer_goes_out_before_the_objective_and_names_what_is_missing() {
    let mut run = Run::gather(10, 0.89, 1);
    for send in 0..9 {
        run.end(send, answer(&[u8::try_from(send).expect("small"); 16]));
    }
    run.pass(70);
    assert!(run.outcome.is_none(), "there is time for the last shard");
    run.pass(95);
    let Some(forward::Outcome::Gathered {
        signatures,
        missing,
        body,
    }) = &run.outcome
    else {
        panic!("{:?}", run.outcome);
    };
    assert_eq!((signatures.len(), *missing), (9, 1));
    assert_eq!(body.as_ref(), [[8_u8; 16], [7_u8; 16]].concat());
}

/// Guards against an answer below the required coverage.
#[test]
fn too_few_shards_make_no_answer() {
    let mut run = Run::gather(10, 0.89, 1);
    for send in 0..8 {
        run.end(send, answer(&[1; 16]));
    }
    run.pass(400);
    assert!(run.outcome.is_none(), "a ninth shard may still answer late");
    run.end(8, answer(&[1; 16]));
    run.pass(401);
    assert!(matches!(
        run.outcome,
        Some(forward::Outcome::Gathered { missing: 1, .. })
    ));

    let mut run = Run::gather(10, 0.89, 1);
    for send in 0..8 {
        run.end(send, answer(&[1; 16]));
    }
    run.pass(900);
    assert_eq!(run.outcome, Some(forward::Outcome::TimedOut));
}

/// Guards against a failed shard that counts as part of the answer.
#[test]
fn a_failure_is_no_part() {
    let mut run = Run::gather(2, 0.5, 1);
    run.end(0, failure(200 + 300));
    run.end(1, answer(&[3; 16]));
    let Some(forward::Outcome::Gathered {
        signatures,
        missing,
        ..
    }) = &run.outcome
    else {
        panic!("{:?}", run.outcome);
    };
    assert_eq!((signatures.len(), *missing), (1, 1));
}

/// Guards against sends for a query that cannot reach its coverage.
#[test]
fn a_query_without_enough_usable_shards_is_refused_before_any_send() {
    let run = Run::gather(10, 0.89, 0);
    assert!(run.sends.is_empty());
    assert!(matches!(
        run.outcome,
        Some(forward::Outcome::Refused { .. })
    ));
}

/// Guards against records that are lost, invented or out of order in the merge.
#[test]
fn the_merge_equals_a_sort_of_all_records() {
    fn property(bodies: Vec<Vec<u8>>, top: usize) -> bool {
        let top = top % 20;
        let merged = forward::merge_top(bodies.iter().map(Vec::as_slice), top);
        let mut all: Vec<Vec<u8>> = bodies
            .iter()
            .flat_map(|body| body.chunks_exact(forward::RECORD_BYTES))
            .map(<[u8]>::to_vec)
            .collect();
        all.sort();
        all.reverse();
        all.truncate(top);
        merged == all.concat()
    }
    quickcheck::QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<Vec<u8>>, usize) -> bool);
}
