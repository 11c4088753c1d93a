//! Queues with service times around one dispatcher.

use std::{sync, time};

use fireflyspool::{backend, dispatch, sorted, view};

use crate::{fixture, probe};

const MS: time::Duration = time::Duration::from_millis(1);

/// Time for which a restarted server fails above one concurrent request.
const COLD: time::Duration = time::Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum Happening {
    Arrive,
    Answer(u64),
    Break(u64),
    Hedge(u64),
    CancelDone(u64),
}

struct Query {
    start: time::Instant,
    deadline: time::Instant,
    missing: u32,
}

struct Sub {
    query: usize,
    shard: u32,
    hedge: bool,
    twin: Option<u64>,
    done: bool,
}

/// Dispatcher that owns three replicas of every shard, in virtual time.
pub(crate) struct Simulation {
    pub(crate) latencies: Vec<time::Duration>,
    pub(crate) firsts: u64,
    pub(crate) hedges: u64,
    pub(crate) failures: u64,
    pub(crate) most_running: usize,
    pub(crate) cancels: Vec<backend::CancelState>,
    /// Quantile of service time after which a hedge is sent, in permille.
    pub(crate) hedge_quantile: Option<u64>,
    /// Whether callers have different deadlines, from half a second to four seconds.
    pub(crate) mixed_deadlines: bool,
    now: time::Instant,
    dispatcher: dispatch::Dispatcher,
    view: view::View,
    shards: u32,
    rate: f64,
    queries: Vec<Query>,
    subs: Vec<Sub>,
    /// Attempts that run: server, sub-request, request.
    running: sorted::SortedMap<u64, (usize, usize, backend::SearchRequest)>,
    cold_until: Vec<time::Instant>,
    happenings: sorted::SortedMap<(time::Instant, u64), Happening>,
    sequence: u64,
    random: u64,
}

impl Simulation {
    pub(crate) fn new(shards: u32, config: dispatch::Config, rate: f64) -> Self {
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
            cancels: Vec::new(),
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
            random: 0x9e37_79b9_7f4a_7c15,
        };
        simulation.later(time::Duration::ZERO, Happening::Arrive);
        simulation
    }

    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn later(&mut self, delay: time::Duration, happening: Happening) {
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
            self.happen(Happening::Break(attempt));
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

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive => {
                let gap = -(1.0 - self.draw()).ln() / self.rate;
                self.later(time::Duration::from_secs_f64(gap), Happening::Arrive);
                let (start, missing) = (self.now, self.shards);
                let seconds = if self.mixed_deadlines {
                    0.5 + 3.5 * self.draw()
                } else {
                    2.0
                };
                self.queries.push(Query {
                    start,
                    deadline: start + time::Duration::from_secs_f64(seconds),
                    missing,
                });
                for shard in 0..self.shards {
                    self.submit(self.queries.len() - 1, shard, None, Vec::new());
                }
            }
            Happening::Answer(attempt) => {
                if let Some((server, _, request)) = self.running.remove(&attempt) {
                    let name = format!("s{server:02}");
                    let record = self.view.servers.get(name.as_str());
                    let incarnation = record.map_or(0, |r| r.announcement.incarnation);
                    let reply = fixture::reply(&request, incarnation);
                    self.deliver(dispatch::Event::Answered { attempt, reply });
                }
            }
            Happening::Break(attempt) => {
                if self.running.remove(&attempt).is_some() {
                    let sent = true;
                    self.deliver(dispatch::Event::Broken { attempt, sent });
                }
            }
            Happening::Hedge(attempt) => {
                let Some((server, sub, _)) = self.running.get(&attempt) else {
                    return;
                };
                let (server, sub) = (*server, *sub);
                let within = self.hedges * 1_000 < self.firsts * 45;
                if !self.subs[sub].done && self.subs[sub].twin.is_none() && within {
                    let first = &self.subs[sub];
                    let excluded = vec![format!("s{server:02}")];
                    self.submit(first.query, first.shard, Some(sub), excluded);
                }
            }
            Happening::CancelDone(attempt) => {
                let state = if self.running.remove(&attempt).is_some() {
                    backend::CancelState::Cancelled
                } else {
                    backend::CancelState::Finished
                };
                self.cancels.push(state);
                self.deliver(dispatch::Event::CancelAnswered { attempt, state });
            }
        }
    }

    fn submit(&mut self, query: usize, shard: u32, twin: Option<usize>, excluded: Vec<String>) {
        let id = self.subs.len() as u64;
        self.subs.push(Sub {
            query,
            shard,
            hedge: twin.is_some(),
            twin: twin.map(|twin| twin as u64),
            done: false,
        });
        if let Some(first) = twin {
            self.subs[first].twin = Some(id);
        }
        let deadline = self.queries[query].deadline;
        let remaining = deadline.saturating_duration_since(self.now);
        let request = dispatch::SubRequest {
            hedge: twin.is_some(),
            excluded,
            ..fixture::search(id, shard, remaining)
        };
        self.deliver(dispatch::Event::Submit(request));
    }

    fn deliver(&mut self, event: dispatch::Event) {
        let entropy = self.random;
        let actions = self.dispatcher.handle(event, &self.view, self.now, entropy);
        for action in &actions {
            match action {
                dispatch::Action::Open {
                    server,
                    incarnation,
                    ..
                } => {
                    // At once, so that connections play no part in the figures.
                    let (server, incarnation) = (server.clone(), *incarnation);
                    self.deliver(dispatch::Event::Opened {
                        server,
                        incarnation,
                    });
                }
                dispatch::Action::CancelAttempt { attempt, .. } => {
                    self.later(MS, Happening::CancelDone(*attempt));
                }
                dispatch::Action::Reply { sub, outcome, .. } => self.replied(*sub, outcome),
                _ => {}
            }
        }
        for seen in probe::sends(&actions) {
            self.sent(&seen);
        }
    }

    fn sent(&mut self, seen: &probe::Seen) {
        let dispatch::Body::Search(request) = &seen.body else {
            return;
        };
        let server = seen.server[1..].parse::<usize>().expect("a number");
        let sub = request.request["request-".len()..].parse::<usize>();
        let sub = sub.expect("a number");
        let busy = self.running.values().filter(|run| run.0 == server).count();
        self.most_running = self.most_running.max(busy + 1);
        self.running
            .insert(seen.attempt, (server, sub, request.clone()));
        if self.subs[sub].hedge {
            self.hedges += 1;
        } else {
            self.firsts += 1;
        }
        if busy > 0 && self.now < self.cold_until[server] {
            self.later(2 * MS, Happening::Break(seen.attempt));
            return;
        }
        let straggles = self.draw() < 0.02;
        let service = MS.mul_f64(10.0 + 20.0 * self.draw()) * if straggles { 6 } else { 1 };
        self.later(service, Happening::Answer(seen.attempt));
        let delay = self
            .hedge_quantile
            .and_then(|permille| self.dispatcher.service_quantile(permille, self.now));
        if let Some(delay) = delay.filter(|_| !self.subs[sub].hedge) {
            self.later(delay, Happening::Hedge(seen.attempt));
        }
    }

    fn replied(&mut self, id: u64, outcome: &dispatch::SubOutcome) {
        let sub = &mut self.subs[id as usize];
        let was_done = std::mem::replace(&mut sub.done, true);
        let (query, shard, twin, hedge) = (sub.query, sub.shard, sub.twin, sub.hedge);
        if !matches!(outcome, dispatch::SubOutcome::Answered { .. }) {
            if !was_done && !hedge {
                self.failures += 1;
                let late = self.queries[query].start + time::Duration::from_secs(1) < self.now;
                if !late && twin.is_none() {
                    self.submit(query, shard, None, Vec::new());
                }
            }
            return;
        }
        if let Some(twin) = twin {
            if std::mem::replace(&mut self.subs[twin as usize].done, true) {
                return;
            }
            let (coordinator, incarnation) = (1, 11);
            self.deliver(dispatch::Event::Cancel {
                coordinator,
                incarnation,
                sub: twin,
            });
        }
        let query = &mut self.queries[query];
        query.missing -= 1;
        if query.missing == 0 {
            self.latencies.push(self.now.duration_since(query.start));
        }
    }
}
