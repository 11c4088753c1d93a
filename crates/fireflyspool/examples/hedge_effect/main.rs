//! Effect of hedges on latency and load, in virtual time.
//!
//! `cargo run --release -p fireflyspool --example hedge_effect`
//!
//! Real coordinators of 16 entry VMs search 15 shards with three replicas of
//! two slots each. A server runs what waits in the order hedge, arrival. Service
//! times are exponential with a mean of 10 ms; one in fifty takes 100 ms more.

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
const MEAN_MICROS: f64 = 10_000.0;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Done { server: usize, job: server::Job },
    Wake { query: usize },
}

struct Site {
    view: view::View,
    base: time::Instant,
    now: u64,
    draws: query_fixture::SplitMix64,
    budgets: Vec<gather::Budgets>,
    servers: Vec<server::Server>,
    /// Owner of each server.
    owners: Vec<ids::NodeId>,
    queries: Vec<(gather::Coordinator, usize, u64)>,
    heap: collections::BinaryHeap<cmp::Reverse<(u64, Event)>>,
    latencies: Vec<u64>,
    incomplete: usize,
    firsts: u64,
    hedges: u64,
}

impl Site {
    fn new(hedge_budget: u64) -> Self {
        let base = time::Instant::now();
        let mut view = query_fixture::full_view(&[(1, SHARDS)], VMS, REPLICAS, base);
        query_fixture::set(&mut view, state::ConfigKey::HedgeBudget, hedge_budget);
        query_fixture::set(&mut view, state::ConfigKey::PeakLimit, 1 << 40);
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
            draws: query_fixture::SplitMix64(11),
            budgets,
            servers: owners.iter().map(|_| server::Server::default()).collect(),
            owners,
            queries: Vec::new(),
            heap: collections::BinaryHeap::new(),
            latencies: Vec::new(),
            incomplete: 0,
            firsts: 0,
            hedges: 0,
        }
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let unit = self.draws.below(1 << 30) as f64 / f64::from(1 << 30);
        (-(1.0 - unit).ln() * mean) as u64
    }

    fn instant(&self) -> time::Instant {
        self.base + time::Duration::from_micros(self.now)
    }

    /// Server of a shard that an owner has.
    fn server_of(&self, shard: ids::ShardNumber, owner: ids::NodeId) -> usize {
        let first = shard as usize * REPLICAS as usize;
        let replicas = first..first + REPLICAS as usize;
        let owned = replicas.into_iter().find(|at| self.owners[*at] == owner);
        owned.expect("the owner has a replica")
    }

    fn arrive(&mut self) {
        let vm = self.draws.below(VMS) as usize;
        let mut search = query_fixture::search(&format!("{}-q", self.queries.len()));
        search.deadline = millis(5_000);
        search.partial = true;
        let now = self.instant();
        let plan = plan::plan(&search, &self.view, now, 0).expect("has a plan");
        let draw = self.draws.next();
        let (coordinator, actions) =
            gather::Coordinator::start(plan, search, &self.view, &mut self.budgets[vm], now, draw);
        self.queries.push((coordinator, vm, self.now));
        self.act(self.queries.len() - 1, actions);
    }

    fn tell(&mut self, query: usize, event: gather::Event) {
        let (now, draw) = (self.instant(), self.draws.next());
        let (coordinator, vm, _) = &mut self.queries[query];
        let budgets = &mut self.budgets[*vm];
        let actions = coordinator.handle(event, &self.view, budgets, now, draw);
        self.act(query, actions);
    }

    fn act(&mut self, query: usize, actions: Vec<gather::Action>) {
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
            self.heap
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
            self.firsts += 1;
        }
        self.servers[server].push((query, sub.sub), sub.hedge);
        self.run_next(server);
    }

    /// The slot of a cancelled attempt is free at once.
    fn cancel(&mut self, job: server::Job) {
        for server in 0..self.servers.len() {
            self.servers[server].remove(job);
            self.run_next(server);
        }
    }

    fn run_next(&mut self, server: usize) {
        while let Some(job) = self.servers[server].start() {
            let slow = if self.draws.below(50) == 0 {
                100_000
            } else {
                0
            };
            let ends = self.now + self.exponential(MEAN_MICROS) + slow;
            self.heap
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
        self.tell(job.0, replied);
    }

    fn run(&mut self, utilization: f64) {
        // The mean includes the 2% that take 100 ms more.
        let capacity = (REPLICAS * server::SLOTS as u64) as f64 * utilization;
        let interval = (MEAN_MICROS + 2_000.0) / capacity;
        self.heap.push(cmp::Reverse((1, Event::Arrival)));
        while let Some(cmp::Reverse((at, event))) = self.heap.pop() {
            self.now = at;
            match event {
                Event::Arrival => {
                    self.arrive();
                    let next = at + 1 + self.exponential(interval);
                    if self.queries.len() < QUERIES {
                        self.heap.push(cmp::Reverse((next, Event::Arrival)));
                    }
                }
                Event::Done { server, job } => self.done(server, job),
                Event::Wake { query } => {
                    let wake = self.queries[query].0.next_wake();
                    if wake.is_some_and(|wake| wake <= self.instant()) {
                        self.tell(query, gather::Event::Timer);
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
            let extra = site.hedges as f64 * 100.0 / site.firsts as f64;
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
