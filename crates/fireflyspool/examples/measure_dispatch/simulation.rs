//! Simulation of one dispatcher with backend servers in virtual time.

use std::{sync, time};

use fireflyspool::{backend, dispatch, sorted, view};

use crate::{fixture, query, sim_event, sub};

/// Time for which a restarted server fails above one concurrent request.
const COLD_TIME: time::Duration = time::Duration::from_secs(3);

/// Dispatcher that owns three replicas of every shard, with its queries.
pub(crate) struct Simulation {
    pub(crate) latencies: Vec<time::Duration>,
    pub(crate) first_sends: u64,
    pub(crate) hedges: u64,
    pub(crate) failures: u64,
    pub(crate) max_running: usize,
    /// Quantile of service time after which a hedge is sent, in permille.
    pub(crate) hedge_quantile: Option<u64>,
    /// Whether deadlines vary from 0.5 to 4 seconds instead of 2 seconds.
    pub(crate) mixed_deadlines: bool,
    pub(crate) now: time::Instant,
    pub(crate) dispatcher: dispatch::Dispatcher,
    pub(crate) view: view::View,
    pub(crate) shards: u32,
    /// Queries per second.
    pub(crate) rate: f64,
    pub(crate) queries: Vec<query::Query>,
    pub(crate) subs: Vec<sub::Sub>,
    /// Running attempts: server, sub-request, request.
    pub(crate) running: sorted::SortedMap<u64, (usize, usize, backend::SearchRequest)>,
    pub(crate) cold_until: Vec<time::Instant>,
    pub(crate) events: sorted::SortedMap<(time::Instant, u64), sim_event::SimEvent>,
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
            first_sends: 0,
            hedges: 0,
            failures: 0,
            max_running: 0,
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
            events: sorted::SortedMap::new(),
            sequence: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        simulation.schedule(time::Duration::ZERO, sim_event::SimEvent::QueryArrived);
        simulation
    }

    pub(crate) fn next_random(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub(crate) fn schedule(&mut self, delay: time::Duration, event: sim_event::SimEvent) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.events.insert(key, event);
    }

    /// Restarts a server, which is cold afterwards.
    pub(crate) fn restart(&mut self, server: usize) {
        self.cold_until[server] = self.now + COLD_TIME;
        let broken = self.running.iter().filter(|(_, run)| run.0 == server);
        let broken = broken.map(|(id, _)| *id).collect::<Vec<_>>();
        for attempt in broken {
            self.execute(sim_event::SimEvent::ConnectionLost(attempt));
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
            let event_time = self.events.first().map(|(key, _)| key.0);
            let wake = self.dispatcher.next_wake();
            let next = [event_time, wake].into_iter().flatten().min();
            let next = next.unwrap_or(end);
            self.now = self.now.max(next);
            if event_time == Some(next) {
                if let Some((_, event)) = self.events.pop_first() {
                    self.execute(event);
                }
            } else {
                self.deliver(dispatch::Event::Timer);
            }
        }
    }
}
