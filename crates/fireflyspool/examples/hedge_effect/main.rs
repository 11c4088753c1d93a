//! Effect of hedges on latency and load, in virtual time.
//!
//! `cargo run --release -p fireflyspool --example hedge_effect`
//!
//! Coordinators of 16 entry VMs search 15 shards with three replicas of two
//! slots each. A server runs waiting hedges first, then other requests in the
//! order of arrival. Service times are exponential with a mean of 10 ms; one in
//! fifty takes 100 ms more.

#[path = "../../tests/query_fixture/mod.rs"]
mod query_fixture;
mod server;

use std::{cmp, collections, time};

use fireflyspool::{dispatch, gather, ids, outcome, plan, state, view};
use query_fixture::millis;

const VMS: u64 = 16;
const SHARDS: u32 = 15;
const REPLICAS: u64 = 3;
const QUERIES: usize = 30_000;
const MEAN_SERVICE_MICROS: f64 = 10_000.0;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Done { server: usize, job: server::Job },
    Wake { query: usize },
}

struct Site {
    view: view::View,
    base: time::Instant,
    /// Virtual time since `base`, in microseconds.
    now: u64,
    random: query_fixture::SplitMix64,
    budgets: Vec<gather::Budgets>,
    servers: Vec<server::Server>,
    /// Owner of each server.
    owners: Vec<ids::NodeId>,
    /// Coordinator, position of its VM and start of each query.
    queries: Vec<(gather::Coordinator, usize, u64)>,
    /// Events with their time, the earliest first.
    events: collections::BinaryHeap<cmp::Reverse<(u64, Event)>>,
    latencies: Vec<u64>,
    incomplete: usize,
    /// Sub-requests that are not hedges.
    attempts: u64,
    hedges: u64,
}

impl Site {
    fn new(hedge_budget: u64) -> Self {
        let base = time::Instant::now();
        let mut view = query_fixture::full_view(&[(1, SHARDS)], VMS, REPLICAS, base);
        query_fixture::set_value(&mut view, state::ConfigKey::HedgeBudget, hedge_budget);
        query_fixture::set_value(&mut view, state::ConfigKey::PeakLimit, 1 << 40);
        let mut budgets: Vec<_> = (0..VMS).map(|_| query_fixture::budgets(base)).collect();
        budgets
            .iter_mut()
            .for_each(|budget| budget.apply_view(&view));
        let owners: Vec<_> = view
            .servers
            .values()
            .filter_map(|record| record.owner)
            .collect();
        Self {
            view,
            base,
            now: 0,
            random: query_fixture::SplitMix64(11),
            budgets,
            servers: owners.iter().map(|_| server::Server::default()).collect(),
            owners,
            queries: Vec::new(),
            events: collections::BinaryHeap::new(),
            latencies: Vec::new(),
            incomplete: 0,
            attempts: 0,
            hedges: 0,
        }
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let unit = self.random.below(1 << 30) as f64 / f64::from(1 << 30);
        (-(1.0 - unit).ln() * mean) as u64
    }

    fn instant(&self) -> time::Instant {
        self.base + time::Duration::from_micros(self.now)
    }

    /// Position of the server through which an owner serves a shard.
    fn server_of(&self, shard: ids::ShardNumber, owner: ids::NodeId) -> usize {
        let first = shard as usize * REPLICAS as usize;
        let replicas = first..first + REPLICAS as usize;
        let owned = replicas.into_iter().find(|at| self.owners[*at] == owner);
        owned.expect("the owner has a replica")
    }

    fn arrive(&mut self) {
        let vm = self.random.below(VMS) as usize;
        let mut search = query_fixture::search(&format!("{}-q", self.queries.len()));
        search.deadline = millis(5_000);
        search.partial = true;
        let now = self.instant();
        let plan = plan::plan(&search, &self.view, now, 0).expect("has a plan");
        let draw = self.random.next();
        let (coordinator, actions) =
            gather::Coordinator::start(plan, search, &self.view, &mut self.budgets[vm], now, draw);
        self.queries.push((coordinator, vm, self.now));
        self.apply(self.queries.len() - 1, actions);
    }

    fn handle(&mut self, query: usize, event: gather::Event) {
        let (now, draw) = (self.instant(), self.random.next());
        let (coordinator, vm, _) = &mut self.queries[query];
        let budgets = &mut self.budgets[*vm];
        let actions = coordinator.handle(event, &self.view, budgets, now, draw);
        self.apply(query, actions);
    }

    fn apply(&mut self, query: usize, actions: Vec<gather::Action>) {
        for action in actions {
            match action {
                gather::Action::Dispatch { owner, subs } => {
                    for sub in subs {
                        self.enqueue(query, owner, &sub);
                    }
                }
                gather::Action::Cancel { subs, .. } => {
                    for sub in subs {
                        self.cancel((query, sub));
                    }
                }
                gather::Action::Finish(outcome) => {
                    self.latencies.push(self.now - self.queries[query].2);
                    let complete = matches!(outcome, outcome::Outcome::Complete(_));
                    self.incomplete += usize::from(!complete);
                }
                gather::Action::Warn { .. } | gather::Action::Log(_) => {}
            }
        }
        if let Some(wake) = self.queries[query].0.next_wake() {
            let at = wake.saturating_duration_since(self.base).as_micros() as u64;
            self.events
                .push(cmp::Reverse((at.max(self.now + 1), Event::Wake { query })));
        }
    }

    fn enqueue(&mut self, query: usize, owner: ids::NodeId, sub: &dispatch::SubRequest) {
        let dispatch::Work::Search { shard, .. } = sub.work else {
            return;
        };
        let server = self.server_of(shard, owner);
        if sub.hedge {
            self.hedges += 1;
        } else {
            self.attempts += 1;
        }
        self.servers[server].push((query, sub.sub), sub.hedge);
        self.run_next(server);
    }

    /// Removes a cancelled attempt from its server; its slot is free at once.
    fn cancel(&mut self, job: server::Job) {
        for server in 0..self.servers.len() {
            self.servers[server].remove(job);
            self.run_next(server);
        }
    }

    fn run_next(&mut self, server: usize) {
        while let Some(job) = self.servers[server].start() {
            let slow = if self.random.below(50) == 0 {
                100_000
            } else {
                0
            };
            let ends = self.now + self.exponential(MEAN_SERVICE_MICROS) + slow;
            self.events
                .push(cmp::Reverse((ends, Event::Done { server, job })));
        }
    }

    fn done(&mut self, server: usize, job: server::Job) {
        if !self.servers[server].remove(job) {
            return;
        }
        let queued = self.servers[server].waiting();
        self.run_next(server);
        let answered = query_fixture::answered(Vec::new(), queued);
        let replied = query_fixture::replied(job.1, self.owners[server], answered);
        self.handle(job.0, replied);
    }

    fn run(&mut self, utilization: f64) {
        // The 2% that take 100 ms more add 2 ms to the mean.
        let capacity = (REPLICAS * server::SLOTS as u64) as f64 * utilization;
        let interval = (MEAN_SERVICE_MICROS + 2_000.0) / capacity;
        self.events.push(cmp::Reverse((1, Event::Arrival)));
        while let Some(cmp::Reverse((at, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival => {
                    self.arrive();
                    let next = at + 1 + self.exponential(interval);
                    if self.queries.len() < QUERIES {
                        self.events.push(cmp::Reverse((next, Event::Arrival)));
                    }
                }
                Event::Done { server, job } => self.done(server, job),
                Event::Wake { query } => {
                    let wake = self.queries[query].0.next_wake();
                    if wake.is_some_and(|wake| wake <= self.instant()) {
                        self.handle(query, gather::Event::Timer);
                    }
                }
            }
        }
    }
}

fn main() {
    for utilization in [0.4, 0.7] {
        for budget in [0, 20, 45, 100] {
            let mut site = Site::new(budget);
            site.run(utilization);
            site.latencies.sort_unstable();
            let quantile = |share| site.latencies[site.latencies.len() * share / 1_000] / 1_000;
            let extra = site.hedges as f64 * 100.0 / site.attempts as f64;
            println!(
                "utilization {utilization}, budget {budget}: median {} ms, p99 {} ms, p99.9 {} ms, \
                 hedges {extra:.1}%, incomplete {}",
                quantile(500),
                quantile(990),
                quantile(999),
                site.incomplete
            );
        }
    }
}
