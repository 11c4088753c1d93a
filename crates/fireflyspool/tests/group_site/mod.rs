//! Query whose attempts and groups the test ends, at an entry VM that delegates or gathers.

use std::{net, sync, time};

use fireflyspool::{configuration, containment, fleet, forward, hub, ids, registry};

/// Fingerprint of the requests.
pub(crate) const CONTENT: u64 = 7;

pub(crate) const OBJECTIVE: time::Duration = time::Duration::from_millis(100);

/// Most records in an answer; fewer than the shards of the tests have together.
pub(crate) const TOP_K: usize = 20;

pub(crate) fn listener(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 1, 0, number], 7_060))
}

pub(crate) fn delegate(number: u8, zone: &str) -> hub::Delegate {
    hub::Delegate {
        listener: listener(number),
        zone: zone.to_owned(),
        incarnation: u64::from(number),
    }
}

pub(crate) fn service(shard: usize) -> String {
    format!("shard{shard}")
}

/// Records of a shard, all different.
pub(crate) fn records(shard: usize) -> Vec<u8> {
    let record = |index: usize| {
        let value = (shard as u64 * 7 + index as u64 * 1_000).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        [value.to_be_bytes(), (shard as u64).to_be_bytes()].concat()
    };
    (0..3).flat_map(record).collect()
}

pub(crate) fn success(shard: usize) -> forward::AttemptEnd {
    forward::AttemptEnd::Answered(forward::Response {
        status: 200,
        headers: http::HeaderMap::new(),
        signature: Some(service(shard)),
        body: records(shard).into(),
    })
}

/// Greatest records of these shards.
pub(crate) fn expected(shards: impl IntoIterator<Item = usize>) -> Vec<u8> {
    let bodies: Vec<_> = shards.into_iter().map(records).collect();
    forward::merge_top(bodies.iter().map(Vec::as_slice), TOP_K)
}

/// Answer with these shards of a group; the others are still under way.
pub(crate) fn answer(group: &forward::Group, shards: &[usize]) -> forward::GroupAnswer {
    let position = |shard: &usize| {
        let found = group
            .services
            .iter()
            .position(|name| *name == service(*shard));
        found.expect("the group has the shard")
    };
    let answered: Vec<_> = shards
        .iter()
        .map(|shard| (position(shard), service(*shard)))
        .collect();
    let missing = (0..group.services.len())
        .filter(|other| !answered.iter().any(|(position, _)| position == other))
        .map(|position| forward::MissingShard {
            position,
            tried: vec![format!("{}-b", group.services[position])],
            running: true,
            ran: true,
            crashed: false,
        });
    forward::GroupAnswer {
        missing: missing.collect(),
        answered,
        body: expected(shards.iter().copied()).into(),
    }
}

pub(crate) fn shard_number(service: &str) -> usize {
    let digits = service.strip_prefix("shard").expect("a shard");
    digits.parse().expect("a number")
}

pub(crate) fn shards_of(group: &forward::Group) -> Vec<usize> {
    group
        .services
        .iter()
        .map(|name| shard_number(name))
        .collect()
}

/// One query at an entry VM of zone `a`; the test ends attempts and groups.
pub(crate) struct Query {
    pub(crate) fleet: fleet::Fleet,
    pub(crate) view: fleet::View,
    pub(crate) exchange: Option<forward::Exchange>,
    pub(crate) sends: Vec<forward::Send>,
    pub(crate) groups: Vec<forward::Delegation>,
    pub(crate) reports: Vec<forward::GroupAnswer>,
    pub(crate) wake: Option<time::Instant>,
    pub(crate) outcome: Option<forward::Outcome>,
    pub(crate) top_k: usize,
    pub(crate) start: time::Instant,
    pub(crate) now: time::Instant,
}

impl Query {
    /// Site whose shard `n` has a backend server in each of the zones `zones(n)`.
    pub(crate) fn new(
        shards: usize,
        zones: impl Fn(usize) -> &'static str,
        delegates: &[hub::Delegate],
    ) -> Self {
        let now = time::Instant::now();
        let limits = fleet::RetryLimits {
            ratio: 0.2,
            slack: 10.0,
            window: time::Duration::from_secs(10),
        };
        let mut view = fleet::View {
            generation: 1,
            members: 1,
            delegates: delegates.to_vec(),
            ..fleet::View::default()
        };
        for shard in 0..shards {
            for zone in zones(shard).split(',').filter(|zone| !zone.is_empty()) {
                let server = format!("{}-{zone}", service(shard));
                let record = registry::Record {
                    version: String::new(),
                    server: server.clone(),
                    born: 1,
                    sequence: 1,
                    service: service(shard),
                    address: "10.0.0.1:80".parse().expect("an address"),
                    zone: zone.to_owned(),
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
        Self {
            fleet,
            view,
            exchange: None,
            sends: Vec::new(),
            groups: Vec::new(),
            reports: Vec::new(),
            wake: None,
            outcome: None,
            top_k: TOP_K,
            start: now,
            now,
        }
    }

    /// Has the VM know of a crash under the content of the query.
    pub(crate) fn suspect(&mut self) {
        let crash = containment::Crash {
            server: "other".to_owned(),
            born: 1,
            probe: false,
            unseen: false,
        };
        self.fleet.record_crash(CONTENT, crash, self.now);
    }

    /// Starts a query over the first `shards` shards.
    pub(crate) fn query(&mut self, shards: usize, coverage: f64, attempts: usize) {
        let route = configuration::Route {
            name: "route".to_owned(),
            host: "host".to_owned(),
            prefix: "/".to_owned(),
            idempotent: true,
            timeout: time::Duration::from_millis(800),
            objective: OBJECTIVE,
            priority: 0,
            max_attempts: attempts,
            open: false,
            target: configuration::Target::Gather(configuration::Gather {
                shards: (0..shards).map(service).collect(),
                top_k: self.top_k,
                coverage,
            }),
        };
        self.start = self.now;
        let timing = forward::Timing::new(&route, None, time::Duration::ZERO, self.now);
        let route = sync::Arc::new(route);
        let (exchange, actions) =
            forward::Exchange::start(route, CONTENT, timing, &mut self.fleet, 1, self.now);
        self.run(exchange, actions);
    }

    /// Starts to gather a group, as the other entry VM does.
    pub(crate) fn gather(&mut self, group: &forward::Group) {
        let (exchange, actions) =
            forward::Exchange::start_group(group, &mut self.fleet, 1, self.now);
        self.run(exchange, actions);
    }

    pub(crate) fn run(&mut self, exchange: forward::Exchange, actions: Vec<forward::Action>) {
        self.sends.clear();
        self.groups.clear();
        self.outcome = None;
        self.exchange = Some(exchange);
        self.execute(actions);
        let now = self.now;
        self.act(|exchange, fleet| exchange.attempts_written(fleet, now));
    }

    pub(crate) fn act(
        &mut self,
        act: impl FnOnce(&mut forward::Exchange, &mut fleet::Fleet) -> Vec<forward::Action>,
    ) {
        let exchange = self.exchange.as_mut().expect("it has started");
        let actions = act(exchange, &mut self.fleet);
        self.execute(actions);
    }

    pub(crate) fn execute(&mut self, actions: Vec<forward::Action>) {
        for action in actions {
            match action {
                forward::Action::Send(send) => self.sends.push(send),
                forward::Action::Delegate(delegation) => self.groups.push(delegation),
                forward::Action::Report(answer) => self.reports.push(answer),
                forward::Action::WakeAt(at) => self.wake = Some(at),
                forward::Action::Finish(outcome) => {
                    assert!(self.outcome.is_none(), "a request has one answer");
                    self.outcome = Some(outcome);
                }
            }
        }
    }

    pub(crate) fn end_attempt(&mut self, send: usize, end: forward::AttemptEnd) {
        let (attempt, now) = (self.sends[send].attempt, self.now);
        self.act(|exchange, fleet| exchange.attempt_ended(attempt, end, fleet, 7, now));
    }

    pub(crate) fn answer_group(&mut self, group: usize, shards: &[usize]) {
        self.deliver(group, answer(&self.groups[group].group, shards));
    }

    /// Hands over an answer to a group.
    pub(crate) fn deliver(&mut self, group: usize, answer: forward::GroupAnswer) {
        let (attempt, now) = (self.groups[group].attempt, self.now);
        self.act(|exchange, fleet| exchange.group_answered(attempt, answer, fleet, 7, now));
    }

    /// Ends a group, and counts that as its driver does.
    pub(crate) fn end_group(&mut self, group: usize, end: forward::GroupEnd) {
        let elapsed = time::Duration::ZERO;
        let result = match end {
            forward::GroupEnd::Answered => fleet::AttemptResult::Answered { elapsed },
            forward::GroupEnd::Refused => fleet::AttemptResult::Rejected,
            forward::GroupEnd::Unreachable => fleet::AttemptResult::Unreachable,
            forward::GroupEnd::Broken => fleet::AttemptResult::Failed,
            forward::GroupEnd::TimedOut => fleet::AttemptResult::Abandoned { elapsed },
        };
        let Delegated { attempt, delegate } = self.delegated(group);
        let now = self.now;
        self.fleet.record_group_end(delegate, Some(result), now);
        self.act(|exchange, fleet| exchange.group_ended(attempt, end, fleet, 7, now));
    }

    pub(crate) fn delegated(&self, group: usize) -> Delegated {
        let delegation = &self.groups[group];
        Delegated {
            attempt: delegation.attempt,
            delegate: delegation.delegate,
        }
    }

    /// Answers all attempts that have been sent for shards without a response.
    pub(crate) fn answer_sends(&mut self) {
        for send in 0..self.sends.len() {
            let shard = shard_number(&self.sends[send].service);
            self.end_attempt(send, success(shard));
        }
    }

    /// Advances the time to a point after the start, with every wake-up that is due.
    pub(crate) fn advance_to(&mut self, millis: u64) {
        let until = self.start + time::Duration::from_millis(millis);
        while let Some(wake) = self.wake.filter(|wake| *wake <= until) {
            if self.outcome.is_some() {
                break;
            }
            self.now = self.now.max(wake);
            self.wake = None;
            let now = self.now;
            self.act(|exchange, fleet| exchange.wake(fleet, 7, now));
        }
        self.now = self.now.max(until);
    }

    /// Shards that have got attempts of this VM, ascending.
    pub(crate) fn sent(&self) -> Vec<usize> {
        let mut shards: Vec<_> = self
            .sends
            .iter()
            .map(|send| shard_number(&send.service))
            .collect();
        shards.sort_unstable();
        shards
    }

    pub(crate) fn assert_complete(&self, shards: usize) {
        let Some(forward::Outcome::Gathered {
            signatures,
            missing,
            body,
        }) = &self.outcome
        else {
            panic!("no answer: {:?}", self.outcome);
        };
        assert_eq!(*missing, 0);
        let mut signatures = signatures.clone();
        signatures.sort_unstable();
        let mut services: Vec<_> = (0..shards).map(service).collect();
        services.sort_unstable();
        assert_eq!(signatures, services, "each shard once");
        assert_eq!(body.as_ref(), expected(0..shards), "the greatest records");
    }
}

/// Identity of a group in its exchange, and the entry VM that gathers it.
pub(crate) struct Delegated {
    attempt: ids::AttemptId,
    delegate: net::SocketAddr,
}
