//! A dispatcher with stand-ins for backend servers, in virtual time.

use std::{sync, time};

use fireflyspool::{dispatch, outcome, sorted, view};

use crate::{fixture, happening, op, sent, stand_in, sub};

/// Content that crashes every server that runs it.
pub(crate) const POISON: u64 = 500;

/// Shards of the collection; server `i` hosts shard `i % SHARDS`, the last server hosts two.
pub(crate) const SHARDS: u32 = 3;

/// Servers in the view.
pub(crate) const SERVERS: usize = 7;

/// Time after a crash for which the content counts as suspect.
pub(crate) const SUSPICION: time::Duration = time::Duration::from_secs(10);

/// Everything that takes part in a random run, with the true state of all servers.
pub(crate) struct World {
    pub(crate) now: time::Instant,
    pub(crate) view: view::View,
    pub(crate) dispatcher: dispatch::Dispatcher,
    pub(crate) servers: Vec<stand_in::StandIn>,
    pub(crate) subs: sorted::SortedMap<u64, sub::Sub>,
    pub(crate) sent: sorted::SortedMap<u64, sent::Sent>,
    pub(crate) happenings: sorted::SortedMap<(time::Instant, u64), happening::Happening>,
    /// Crashes that the dispatcher was told of: content, server, process, time.
    pub(crate) crashes: Vec<(u64, usize, u64, time::Instant)>,
    pub(crate) draining: bool,
    pub(crate) lease_lost: bool,
    pub(crate) violation: Option<String>,
    pub(crate) sends: u64,
    start: time::Instant,
    random: u64,
    sequence: u64,
}

impl World {
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
            // Limits below and above what the owner needs.
            record.announcement.connections = [3, 4, 55][number % 3];
            // One replica belongs to another owner.
            if number == 3 {
                record.owner = Some(99);
            }
            record
        });
        let servers = (0..SERVERS).map(|n| stand_in::StandIn::new(name(n), slots(n)));
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
            happenings: sorted::SortedMap::new(),
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

    /// Runs all steps, then lets everything end; returns what was violated.
    pub(crate) fn run(mut self, ops: &[op::Op]) -> Result<u64, String> {
        self.deliver(dispatch::Event::ViewChanged);
        for op in ops {
            self.step(*op);
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

    pub(crate) fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    pub(crate) fn later(&mut self, delay: time::Duration, happening: happening::Happening) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.happenings.insert(key, happening);
    }

    pub(crate) fn violate(&mut self, what: impl Into<String>) {
        if self.violation.is_none() {
            self.violation = Some(what.into());
        }
    }

    /// Lets time pass, with all timers and happenings in order.
    pub(crate) fn advance(&mut self, span: time::Duration) {
        let end = self.now + span;
        let mut idle_turns = 0;
        while self.violation.is_none() {
            let happening = self.happenings.first().map(|(key, _)| key.0);
            let wake = self.dispatcher.next_wake();
            let next = [happening, wake].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= end) else {
                break;
            };
            idle_turns = if next > self.now { 0 } else { idle_turns + 1 };
            if idle_turns > 1_000 {
                self.violate("time stands still: next_wake is not after a handled timer");
            }
            self.now = self.now.max(next);
            if happening.is_some_and(|time| time <= next) {
                if let Some((_, happening)) = self.happenings.pop_first() {
                    self.happen(happening);
                }
            } else {
                self.deliver(dispatch::Event::Timer);
            }
        }
        self.now = self.now.max(end);
    }

    /// Passes an event to the dispatcher and executes the actions.
    pub(crate) fn deliver(&mut self, event: dispatch::Event) {
        let entropy = self.draw();
        self.note(&event);
        let actions = self.dispatcher.handle(event, &self.view, self.now, entropy);
        for action in actions {
            if !matches!(action, dispatch::Action::Log(_)) {
                self.note(&action);
            }
            self.act(action);
        }
        self.check_pending();
    }

    fn note(&mut self, what: &dyn std::fmt::Debug) {
        if std::env::var_os("DISPATCH_TRACE").is_some() {
            println!("{:?} {what:?}", self.now.duration_since(self.start));
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

    /// Changes the record of a server in the view.
    pub(crate) fn change(&mut self, server: usize, change: impl FnOnce(&mut view::ServerRecord)) {
        let name = self.servers[server].name.clone();
        let servers = sync::Arc::make_mut(&mut self.view.servers);
        let record = servers.get_mut(&name).expect("a server of the view");
        change(record);
        record.announcement.sequence += 1;
        self.servers[server].denied = false;
    }

    /// Hits that only the right reply to a sub-request contains.
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
