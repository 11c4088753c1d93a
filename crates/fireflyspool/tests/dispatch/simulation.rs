//! Simulation of a dispatcher with fake backend servers in virtual time.

use std::{sync, time};

use fireflyspool::{dispatch, outcome, sorted, view};

use crate::{driver_attempt, fake_server, fixture, scheduled_event, step, sub_history};

/// Fingerprint of requests that crash every server that runs them.
pub(crate) const POISON_FINGERPRINT: u64 = 500;

/// Shards of the collection; server `i` hosts shard `i % SHARDS`, the last server hosts two.
pub(crate) const SHARDS: u32 = 3;

/// Number of servers in the view.
pub(crate) const SERVERS: usize = 7;

/// Time after a crash for which its fingerprint is suspect.
pub(crate) const SUSPICION: time::Duration = time::Duration::from_secs(10);

/// Dispatcher under test, fake servers, and the state of the oracle.
pub(crate) struct Simulation {
    pub(crate) now: time::Instant,
    pub(crate) view: view::View,
    pub(crate) dispatcher: dispatch::Dispatcher,
    pub(crate) servers: Vec<fake_server::FakeServer>,
    pub(crate) subs: sorted::SortedMap<u64, sub_history::SubHistory>,
    pub(crate) sent: sorted::SortedMap<u64, driver_attempt::DriverAttempt>,
    pub(crate) events: sorted::SortedMap<(time::Instant, u64), scheduled_event::ScheduledEvent>,
    /// Crashes reported to the dispatcher: fingerprint, server, process, time.
    pub(crate) crashes: Vec<(u64, usize, u64, time::Instant)>,
    pub(crate) draining: bool,
    pub(crate) lease_lost: bool,
    pub(crate) violation: Option<String>,
    pub(crate) sends: u64,
    start: time::Instant,
    random: u64,
    sequence: u64,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let now = time::Instant::now();
        let name = |number: usize| format!("searcher-{number}");
        let slots = |number: usize| 2 + u32::from(number % 3 == 2);
        let records = (0..SERVERS).map(|number| {
            let own = u32::try_from(number).expect("few servers") % SHARDS;
            let shards = if number + 1 == SERVERS {
                vec![0, 1]
            } else {
                vec![own]
            };
            let zone = u32::try_from(number).expect("few servers") % 2;
            let mut record = fixture::record(&name(number), zone, slots(number), &shards);
            // Connection limits below and above what the owner needs.
            record.announcement.connections = [3, 4, 55][number % 3];
            // One replica belongs to another owner.
            if number == 3 {
                record.owner = Some(99);
            }
            record
        });
        let servers = (0..SERVERS).map(|n| fake_server::FakeServer::new(name(n), slots(n)));
        let config = dispatch::Config {
            queue_limit: 40,
            ..dispatch::Config::default()
        };
        let service = fixture::SERVICE.to_owned();
        let lease = now + time::Duration::from_secs(3);
        Self {
            now,
            view: fixture::view(records.collect(), lease),
            dispatcher: dispatch::Dispatcher::new(fixture::NODE, seed, service, config),
            servers: servers.collect(),
            subs: sorted::SortedMap::new(),
            sent: sorted::SortedMap::new(),
            events: sorted::SortedMap::new(),
            crashes: Vec::new(),
            draining: false,
            lease_lost: false,
            violation: None,
            sends: 0,
            start: now,
            random: seed | 1,
            sequence: 0,
        }
    }

    /// Runs all steps, then two more seconds; returns the number of sends or a violation.
    pub(crate) fn run(mut self, steps: &[step::Step]) -> Result<u64, String> {
        self.deliver(dispatch::Event::ViewChanged);
        for step in steps {
            self.run_step(*step);
            if let Some(violation) = self.violation.take() {
                return Err(violation);
            }
        }
        self.advance(time::Duration::from_secs(2));
        self.check_end();
        match self.violation.take() {
            Some(violation) => Err(violation),
            None => Ok(self.sends),
        }
    }

    pub(crate) fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    pub(crate) fn schedule(
        &mut self,
        delay: time::Duration,
        scheduled: scheduled_event::ScheduledEvent,
    ) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.events.insert(key, scheduled);
    }

    pub(crate) fn report_violation(&mut self, violation: impl Into<String>) {
        if self.violation.is_none() {
            self.violation = Some(violation.into());
        }
    }

    /// Advances the time and executes timers and scheduled events in order.
    pub(crate) fn advance(&mut self, span: time::Duration) {
        let end = self.now + span;
        let mut idle_rounds = 0;
        while self.violation.is_none() {
            let event_time = self.events.first().map(|(key, _)| key.0);
            let wake = self.dispatcher.next_wake();
            let next = [event_time, wake].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= end) else {
                break;
            };
            idle_rounds = if next > self.now { 0 } else { idle_rounds + 1 };
            if idle_rounds > 1_000 {
                self.report_violation(
                    "the time does not advance: next_wake is not after a handled timer",
                );
            }
            self.now = self.now.max(next);
            if event_time.is_some_and(|time| time <= next) {
                if let Some((_, scheduled)) = self.events.pop_first() {
                    self.execute(scheduled);
                }
            } else {
                self.deliver(dispatch::Event::Timer);
            }
        }
        self.now = self.now.max(end);
    }

    /// Passes an event to the dispatcher and executes the actions.
    pub(crate) fn deliver(&mut self, event: dispatch::Event) {
        let entropy = self.next_random();
        self.trace(&event);
        let actions = self.dispatcher.handle(event, &self.view, self.now, entropy);
        for action in actions {
            if !matches!(action, dispatch::Action::Log(_)) {
                self.trace(&action);
            }
            self.execute_action(action);
        }
        self.check_pending();
    }

    /// Prints an event or action if `DISPATCH_TRACE` is set.
    fn trace(&mut self, traced: &dyn std::fmt::Debug) {
        if std::env::var_os("DISPATCH_TRACE").is_some() {
            println!("{:?} {traced:?}", self.now.duration_since(self.start));
        }
    }

    pub(crate) fn find(&self, server: &str) -> usize {
        let found = self.servers.iter().position(|s| s.name == server);
        found.expect("a server of this world")
    }

    pub(crate) fn record(&self, server: usize) -> &view::ServerRecord {
        let name = &self.servers[server].name;
        self.view.servers.get(name).expect("a server of the view")
    }

    /// Changes the record of a server in the view, as a new announcement.
    pub(crate) fn change(&mut self, server: usize, change: impl FnOnce(&mut view::ServerRecord)) {
        let name = self.servers[server].name.clone();
        let servers = sync::Arc::make_mut(&mut self.view.servers);
        let record = servers.get_mut(&name).expect("a server of the view");
        change(record);
        record.announcement.sequence += 1;
        self.servers[server].not_hosted = false;
    }

    /// Hits that only the correct reply to a sub-request contains.
    pub(crate) fn expected_hits(request: &dispatch::SubRequest) -> Vec<outcome::Hit> {
        match &request.work {
            dispatch::Work::Search { shard, .. } => vec![outcome::Hit {
                id: format!("{}/{shard}", request.request),
                score: 1.0,
                shard: *shard,
            }],
            dispatch::Work::Submit { .. } => Vec::new(),
        }
    }
}
