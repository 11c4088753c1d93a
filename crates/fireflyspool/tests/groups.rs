//! Groups of shards that one entry VM delegates to others: what is delegated, how answers are
//! merged, and what happens when the other VM fails.

use std::{collections, net, sync, time};

use fireflyspool::{configuration, fleet, forward, hub, ids, registry};

/// Fingerprint of the requests.
const CONTENT: u64 = 7;

const OBJECTIVE: time::Duration = time::Duration::from_millis(100);

/// Most records in an answer; fewer than the shards of the tests have together.
const TOP_K: usize = 20;

fn listener(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 1, 0, number], 7_060))
}

fn delegate(number: u8, zone: &str) -> hub::Delegate {
    hub::Delegate {
        listener: listener(number),
        zone: zone.to_owned(),
        incarnation: u64::from(number),
    }
}

fn service(shard: usize) -> String {
    format!("shard{shard}")
}

/// Records of a shard, all different.
fn records(shard: usize) -> Vec<u8> {
    let record = |index: usize| {
        let value = (shard as u64 * 7 + index as u64 * 1_000).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        [value.to_be_bytes(), (shard as u64).to_be_bytes()].concat()
    };
    (0..3).flat_map(record).collect()
}

fn success(shard: usize) -> forward::AttemptEnd {
    forward::AttemptEnd::Answered(forward::Response {
        status: 200,
        headers: http::HeaderMap::new(),
        signature: Some(service(shard)),
        body: records(shard).into(),
    })
}

/// Greatest records of these shards.
fn expected(shards: impl IntoIterator<Item = usize>) -> Vec<u8> {
    let bodies: Vec<_> = shards.into_iter().map(records).collect();
    forward::merge_top(bodies.iter().map(Vec::as_slice), TOP_K)
}

/// Answer with these shards of a group; the others are still under way.
fn answer(group: &forward::Group, shards: &[usize]) -> forward::GroupAnswer {
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

fn shard_number(service: &str) -> usize {
    let digits = service.strip_prefix("shard").expect("a shard");
    digits.parse().expect("a number")
}

fn shards_of(group: &forward::Group) -> Vec<usize> {
    group
        .services
        .iter()
        .map(|name| shard_number(name))
        .collect()
}

/// One query at an entry VM of zone `a`; the test ends attempts and groups.
struct Query {
    fleet: fleet::Fleet,
    view: fleet::View,
    exchange: Option<forward::Exchange>,
    sends: Vec<forward::Send>,
    groups: Vec<forward::Delegation>,
    reports: Vec<forward::GroupAnswer>,
    wake: Option<time::Instant>,
    outcome: Option<forward::Outcome>,
    start: time::Instant,
    now: time::Instant,
}

impl Query {
    /// Site whose shard `n` has a backend server in each of the zones `zones(n)`.
    fn new(
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
            for zone in zones(shard).split(',') {
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
            start: now,
            now,
        }
    }

    /// Starts a query over the first `shards` shards.
    fn query(&mut self, shards: usize, coverage: f64, attempts: usize) {
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
                top_k: TOP_K,
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
    fn gather(&mut self, group: &forward::Group) {
        let (exchange, actions) =
            forward::Exchange::start_group(group, &mut self.fleet, 1, self.now);
        self.run(exchange, actions);
    }

    fn run(&mut self, exchange: forward::Exchange, actions: Vec<forward::Action>) {
        self.sends.clear();
        self.groups.clear();
        self.outcome = None;
        self.exchange = Some(exchange);
        self.execute(actions);
        let now = self.now;
        self.act(|exchange, fleet| exchange.attempts_written(fleet, now));
    }

    fn act(
        &mut self,
        act: impl FnOnce(&mut forward::Exchange, &mut fleet::Fleet) -> Vec<forward::Action>,
    ) {
        let exchange = self.exchange.as_mut().expect("it has started");
        let actions = act(exchange, &mut self.fleet);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<forward::Action>) {
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

    fn end_attempt(&mut self, send: usize, end: forward::AttemptEnd) {
        let (attempt, now) = (self.sends[send].attempt, self.now);
        self.act(|exchange, fleet| exchange.attempt_ended(attempt, end, fleet, 7, now));
    }

    fn answer_group(&mut self, group: usize, shards: &[usize]) {
        let answer = answer(&self.groups[group].group, shards);
        let (attempt, now) = (self.groups[group].attempt, self.now);
        self.act(|exchange, fleet| exchange.group_answered(attempt, answer, fleet, 7, now));
    }

    /// Ends a group, and counts that as its driver does.
    fn end_group(&mut self, group: usize, end: forward::GroupEnd) {
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

    fn delegated(&self, group: usize) -> Delegated {
        let delegation = &self.groups[group];
        Delegated {
            attempt: delegation.attempt,
            delegate: delegation.delegate,
        }
    }

    /// Answers all attempts that have been sent for shards without a response.
    fn answer_sends(&mut self) {
        for send in 0..self.sends.len() {
            let shard = shard_number(&self.sends[send].service);
            self.end_attempt(send, success(shard));
        }
    }

    /// Advances the time to a point after the start, with every wake-up that is due.
    fn advance_to(&mut self, millis: u64) {
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
    fn sent(&self) -> Vec<usize> {
        let mut shards: Vec<_> = self
            .sends
            .iter()
            .map(|send| shard_number(&send.service))
            .collect();
        shards.sort_unstable();
        shards
    }

    fn assert_complete(&self, shards: usize) {
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
struct Delegated {
    attempt: ids::AttemptId,
    delegate: net::SocketAddr,
}

/// Shards below 6 have servers in zone `a`, the others in `b` and `c`.
fn two_zones(shard: usize) -> &'static str {
    match shard < 6 {
        true => "a,b",
        false => "b,c",
    }
}

fn started(attempts: usize) -> Query {
    let mut query = Query::new(12, two_zones, &[delegate(2, "b")]);
    query.query(12, 0.75, attempts);
    assert_eq!(query.groups.len(), 1);
    query
}

/// Parts of shards that the zone lacks crossed zones one by one.
#[test]
fn shards_that_the_zone_lacks_are_gathered_by_one_entry_vm_that_has_them() {
    let mut query = started(2);
    assert_eq!(query.sent(), [0, 1, 2, 3, 4, 5]);
    assert_eq!(query.groups[0].delegate, listener(2));
    assert_eq!(shards_of(&query.groups[0].group), [6, 7, 8, 9, 10, 11]);
    query.answer_sends();
    query.answer_group(0, &[6, 7, 8, 9, 10, 11]);
    query.assert_complete(12);
}

/// Guards against groups that cost more than they save, and against entry VMs that are not
/// known to live.
#[test]
fn few_shards_and_shards_without_an_entry_vm_nearby_are_queried_directly() {
    let few = |shard| if shard < 9 { "a" } else { "b" };
    let mut query = Query::new(12, few, &[delegate(2, "b")]);
    query.query(12, 0.75, 2);
    assert!(query.groups.is_empty(), "three shards are no group");
    assert_eq!(query.sends.len(), 12);

    for delegates in [vec![], vec![delegate(4, "d")]] {
        let mut query = Query::new(12, two_zones, &delegates);
        query.query(12, 0.75, 2);
        assert!(query.groups.is_empty());
        assert_eq!(query.sends.len(), 12);
    }
    let mut query = Query::new(16, |_| "a,b,c", &[delegate(1, "a"), delegate(2, "b")]);
    query.query(16, 0.75, 2);
    assert!(query.groups.is_empty(), "its zone has all of a few shards");
}

/// One VM with a small share of a core takes most of the objective to query many shards.
#[test]
fn many_shards_are_divided_among_entry_vms_that_take_long_to_write() {
    let delegates = [
        delegate(1, "a"),
        delegate(2, "a"),
        delegate(3, "b"),
        delegate(4, "b"),
    ];
    let zones = |shard| if shard < 48 { "a,b" } else { "b,c" };
    let mut query = Query::new(80, zones, &delegates);
    query.query(80, 0.75, 2);
    assert_eq!(query.groups.len(), 1, "attempts are written fast");
    let slow = time::Duration::from_millis(48);
    for _ in 0..400 {
        query.fleet.record_written(48, slow);
    }
    query.query(80, 0.75, 2);
    let mut sizes: Vec<_> = query
        .groups
        .iter()
        .map(|group| group.group.services.len())
        .collect();
    sizes.sort_unstable();
    assert_eq!(sizes, [16, 16, 16, 16]);
    assert_eq!(query.sends.len(), 16, "its own share");
    let used: collections::BTreeSet<_> = query.groups.iter().map(|group| group.delegate).collect();
    assert_eq!(used.len(), 4, "each entry VM once");
}

/// Guards against a query that is lost with another entry VM, and against a retry budget that
/// is spent on attempts that never ran.
#[test]
fn a_group_that_was_not_taken_is_queried_directly_without_retries() {
    for end in [forward::GroupEnd::Refused, forward::GroupEnd::Unreachable] {
        let mut query = started(1);
        query.end_group(0, end);
        assert_eq!(query.sent(), (0..12).collect::<Vec<_>>());
        query.answer_sends();
        query.assert_complete(12);
        let exchange = query.exchange.as_ref().expect("it has started");
        assert_eq!((exchange.hedges(), exchange.retries()), (0, 0));
    }
}

/// Guards against a query that fails because an entry VM dies in its midst.
#[test]
fn a_group_that_breaks_is_retried_within_the_attempts_of_the_route() {
    for end in [forward::GroupEnd::Broken, forward::GroupEnd::TimedOut] {
        let mut query = started(2);
        query.end_group(0, end);
        assert_eq!(query.sends.len(), 12);
        query.answer_sends();
        query.assert_complete(12);

        let mut query = started(1);
        query.end_group(0, end);
        assert_eq!(query.sends.len(), 6, "the one attempt may have run");
        query.answer_sends();
        assert_eq!(
            query.outcome,
            Some(forward::Outcome::Failed),
            "not refused: it may have run"
        );
    }
}

/// A frozen entry VM must cost a hedge and not the query. Its answer that comes late has
/// records of shards that were answered meanwhile, which must not be in the answer twice.
#[test]
fn a_silent_entry_vm_is_hedged_and_its_late_answer_replaces_what_came_meanwhile() {
    let mut query = started(2);
    query.advance_to(20);
    assert_eq!(query.sends.len(), 6, "it is not late yet");
    query.advance_to(65);
    assert_eq!(query.sent().len(), 6 + 6 + 6, "hedges of all shards");
    let hedge = |query: &Query, shard: usize| {
        let sends = query.sends.iter();
        let found = sends
            .rev()
            .position(|send| shard_number(&send.service) == shard);
        query.sends.len() - 1 - found.expect("it was sent")
    };
    for shard in [6, 7, 8] {
        let send = hedge(&query, shard);
        query.end_attempt(send, success(shard));
    }
    for shard in 0..6 {
        let send = hedge(&query, shard);
        query.end_attempt(send, success(shard));
    }
    assert_eq!(query.outcome, None);
    query.answer_group(0, &[6, 7, 8, 9, 10, 11]);
    query.assert_complete(12);

    let now = query.now;
    query.query(12, 0.75, 2);
    assert!(
        query.groups.is_empty(),
        "the late VM is not asked again at once"
    );
    query.now = now + time::Duration::from_secs(5);
    query.query(12, 0.75, 2);
    assert_eq!(query.groups.len(), 1);
}

/// Guards against a hedge at the server that was slow for the other entry VM, and against
/// more attempts than the route allows.
#[test]
fn missing_shards_are_hedged_at_servers_that_were_not_tried() {
    let mut query = started(2);
    query.answer_group(0, &[6, 7, 8, 9]);
    let hedges: Vec<_> = query.sends[6..]
        .iter()
        .map(|send| send.server.as_str())
        .collect();
    assert_eq!(hedges, ["shard10-c", "shard11-c"]);
    query.answer_group(0, &[]);
    query.advance_to(60);
    assert_eq!(
        query.sends.len(),
        6 + 2 + 6,
        "shards 10 and 11 have had two attempts"
    );
    query.answer_sends();
    query.assert_complete(12);

    let mut query = started(1);
    query.answer_group(0, &[6, 7, 8, 9]);
    assert_eq!(query.sends.len(), 6, "the route allows one attempt");
    query.answer_sends();
    assert_eq!(query.outcome, None, "the other entry VM may still answer");
    query.answer_group(0, &[10, 11]);
    query.assert_complete(12);
}

/// Guards against a leaving or restarted entry VM that is still asked, and against one that is
/// avoided for what its former process did.
#[test]
fn only_listed_entry_vms_are_asked() {
    let mut query = started(2);
    query.end_group(0, forward::GroupEnd::Unreachable);
    query.query(12, 0.75, 2);
    assert!(query.groups.is_empty(), "it was not reached a moment ago");
    query.view.generation += 1;
    query.view.delegates[0].incarnation += 1;
    query.fleet.update(&query.view, query.now);
    query.query(12, 0.75, 2);
    assert_eq!(query.groups.len(), 1, "it has restarted");
    query.view.generation += 1;
    query.view.delegates.clear();
    query.fleet.update(&query.view, query.now);
    query.query(12, 0.75, 2);
    assert!(query.groups.is_empty(), "it is leaving");
}

/// Guards against a query that waits for the slowest of many shards at the other entry VM
/// without anyone hedging it, and against shards that are reported twice.
#[test]
fn the_gathering_vm_answers_when_a_hedge_is_due_and_again_at_the_cutoff() {
    let query = started(2);
    let group = query.groups[0].group.clone();
    let mut other = Query::new(12, two_zones, &[]);
    other.gather(&group);
    assert_eq!(other.sent(), [6, 7, 8, 9, 10, 11]);
    for send in 0..4 {
        let shard = shard_number(&other.sends[send].service);
        other.end_attempt(send, success(shard));
    }
    assert!(other.reports.is_empty(), "it waits for the others");
    other.advance_to(35);
    assert_eq!(other.sends.len(), 6, "it sends no hedge");
    let report = other.reports.pop().expect("an answer");
    assert_eq!(report.answered.len(), 4);
    let body = report
        .answered
        .iter()
        .map(|(position, _)| shards_of(&group)[*position]);
    assert_eq!(report.body.as_ref(), expected(body));
    assert!(
        report
            .missing
            .iter()
            .all(|shard| shard.running && shard.tried.len() == 1)
    );

    let shard = shard_number(&other.sends[4].service);
    other.end_attempt(4, success(shard));
    assert!(
        other.reports.is_empty(),
        "the next answer is due at the cutoff"
    );
    other.advance_to(85);
    let report = other.reports.pop().expect("an answer at the cutoff");
    assert_eq!(report.answered.len(), 1, "only what is new");
    assert_eq!(report.body.as_ref(), expected([shard]));
    other.end_attempt(5, forward::AttemptEnd::Broken);
    let report = other.reports.pop().expect("the last answer");
    assert!(report.answered.is_empty());
    assert!(!report.missing[0].running && report.missing[0].ran);
    assert!(other.exchange.expect("it has started").is_finished());
}

/// Deterministic numbers below a bound.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        usize::try_from(self.0 >> 33).expect("31 bits") % bound
    }
}

/// Random ends of attempts and groups in random order, against an oracle that knows the records
/// of every shard: each answer has the greatest records of exactly the shards that it names,
/// each of them once, and enough of them.
#[test]
fn answers_over_two_levels_are_what_an_oracle_merges() {
    for seed in 0..600 {
        let mut random = Random(seed);
        let zones = |shard: usize| ["a,b", "b,c", "c,d", "a,d"][shard * 7 % 4];
        let delegates = [
            delegate(2, "b"),
            delegate(3, "c"),
            delegate(4, "d"),
            delegate(5, "c"),
        ];
        let mut query = Query::new(24, zones, &delegates);
        query.query(24, 0.5, 1 + random.below(3));
        let mut open: Vec<Vec<usize>> = Vec::new();
        let (mut ended, mut sent) = (0, 0);
        let mut steps = 0;
        while query.outcome.is_none() && steps < 400 {
            steps += 1;
            open.extend(
                query.groups[open.len()..]
                    .iter()
                    .map(|group| shards_of(&group.group)),
            );
            match random.below(6) {
                0 => {
                    let step = u64::try_from(random.below(12)).expect("small");
                    let passed = query.now.duration_since(query.start).as_millis();
                    query.advance_to(u64::try_from(passed).expect("small") + step);
                }
                1 if ended < open.len() => {
                    let ends = [
                        forward::GroupEnd::Refused,
                        forward::GroupEnd::Broken,
                        forward::GroupEnd::Unreachable,
                        forward::GroupEnd::Answered,
                    ];
                    let end = ends[random.below(4)];
                    query.end_group(ended, end);
                    open[ended].clear();
                    ended += 1;
                }
                2 | 3 if !open.is_empty() => {
                    let group = random.below(open.len());
                    let take = random.below(open[group].len() + 1);
                    let shards: Vec<_> = open[group].drain(..take).collect();
                    if group >= ended {
                        query.answer_group(group, &shards);
                    }
                }
                _ if sent < query.sends.len() => {
                    let shard = shard_number(&query.sends[sent].service);
                    let end = match random.below(5) {
                        0 => forward::AttemptEnd::Broken,
                        1 => forward::AttemptEnd::Rejected,
                        _ => success(shard),
                    };
                    query.end_attempt(sent, end);
                    sent += 1;
                }
                _ => {}
            }
        }
        if let Some(forward::Outcome::Gathered {
            signatures,
            missing,
            body,
        }) = &query.outcome
        {
            let shards: collections::BTreeSet<_> =
                signatures.iter().map(|name| shard_number(name)).collect();
            assert_eq!(shards.len(), signatures.len(), "seed {seed}: a shard twice");
            assert_eq!(shards.len() + missing, 24, "seed {seed}");
            assert!(shards.len() >= 12, "seed {seed}: too few shards");
            assert_eq!(
                body.as_ref(),
                expected(shards),
                "seed {seed}: other records"
            );
        }
    }
}
