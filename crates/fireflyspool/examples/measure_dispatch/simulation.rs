//! Queues with service times around one dispatcher.

use std::{sync, time};

use fireflyspool::{backend, dispatch, sorted, view};

use crate::{fixture, happening, query, sub};

/// Time for which a restarted server fails above one concurrent request.
const COLD: time::Duration = time::Duration::from_secs(3);

/// Dispatcher that owns three replicas of every shard, in virtual time.
pub(crate) struct Simulation {
    pub(crate) latencies: Vec<time::Duration>,
    pub(crate) firsts: u64,
    pub(crate) hedges: u64,
    pub(crate) failures: u64,
    pub(crate) most_running: usize,
    /// Quantile of service time after which a hedge is sent, in permille.
    pub(crate) hedge_quantile: Option<u64>,
    /// Whether callers have different deadlines, from half a second to four seconds.
    pub(crate) mixed_deadlines: bool,
    pub(crate) now: time::Instant,
    pub(crate) dispatcher: dispatch::Dispatcher,
    pub(crate) view: view::View,
    pub(crate) shards: u32,
    pub(crate) rate: f64,
    pub(crate) queries: Vec<query::Query>,
    pub(crate) subs: Vec<sub::Sub>,
    /// Attempts that run: server, sub-request, request.
    pub(crate) running: sorted::SortedMap<u64, (usize, usize, backend::SearchRequest)>,
    pub(crate) cold_until: Vec<time::Instant>,
    pub(crate) happenings: sorted::SortedMap<(time::Instant, u64), happening::Happening>,
    sequence: u64,
    pub(crate) random: u64,
}

impl Simulation {
    pub(crate) fn new(shards: u32, config: dispatch::Config, rate: f64, seed: u64) -> Self {
        let now = time::Instant::now();
        let servers = shards * 3;
        let name = |server: u32| format!("s{server:02}");
        let records = (0..servers).map(|s| fixture::record(&name(s), s / shards, 2, &[s % shards]));
        let lease = now + time::Duration::from_secs(100_000);
        let mut simulation = Self {
            latencies: Vec::new(),
            firsts: 0,
            hedges: 0,
            failures: 0,
            most_running: 0,
            hedge_quantile: None,
            mixed_deadlines: false,
            now,
            dispatcher: dispatch::Dispatcher::new(
                fixture::NODE,
                1,
                fixture::SERVICE.to_owned(),
                config,
            ),
            view: fixture::view(records.collect(), lease),
            shards,
            rate,
            queries: Vec::new(),
            subs: Vec::new(),
            running: sorted::SortedMap::new(),
            cold_until: vec![now; servers as usize],
            happenings: sorted::SortedMap::new(),
            sequence: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        simulation.later(time::Duration::ZERO, happening::Happening::Arrive);
        simulation
    }

    pub(crate) fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub(crate) fn later(&mut self, delay: time::Duration, happening: happening::Happening) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.happenings.insert(key, happening);
    }

    /// Lets a server begin a new life, cold.
    pub(crate) fn restart(&mut self, server: usize) {
        self.cold_until[server] = self.now + COLD;
        let broken = self.running.iter().filter(|(_, run)| run.0 == server);
        let broken = broken.map(|(id, _)| *id).collect::<Vec<_>>();
        for attempt in broken {
            self.happen(happening::Happening::Break(attempt));
        }
        let servers = sync::Arc::make_mut(&mut self.view.servers);
        let record = servers.get_mut(format!("s{server:02}").as_str());
        let announcement = &mut record.expect("a server").announcement;
        announcement.incarnation += 1;
        self.deliver(dispatch::Event::ViewChanged);
    }

    pub(crate) fn run(&mut self, span: time::Duration) {
        let end = self.now + span;
        while self.now < end {
            let happening = self.happenings.first().map(|(key, _)| key.0);
            let wake = self.dispatcher.next_wake();
            let next = [happening, wake].into_iter().flatten().min();
            let next = next.unwrap_or(end);
            self.now = self.now.max(next);
            if happening == Some(next) {
                if let Some((_, happening)) = self.happenings.pop_first() {
                    self.happen(happening);
                }
            } else {
                self.deliver(dispatch::Event::Timer);
            }
        }
    }
}
