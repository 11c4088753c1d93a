//! Entry VMs and backend servers of a site under load, without a network: the decisions of all
//! entry VMs, the queues of the servers, and every connection between them.

#![allow(dead_code, reason = "each test binary uses a part of it")]

mod server;
mod tally;

use std::{cmp, collections, sync, time};

use fireflyspool::{backend, configuration, fleet, forward, hub, ids, registry};

pub(crate) use server::Server;
pub(crate) use tally::Tally;

pub(crate) const VMS: usize = 76;
const SHARDS: usize = 36;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Connections that a server accepts.
const CAP: usize = 70;
const QUERIES_PER_SECOND: f64 = 105.5;
/// Share of the queries that are sweeps; the others are lookups.
const SWEEPS: f64 = 0.75;
/// One-way delay in microseconds within a zone and between zones.
const DELAYS: (u64, u64) = (200, 3_500);
const IDLE_TIMEOUT: u64 = 15_000_000;
/// Time for which attempts go on after their query is answered.
const LATE_ATTEMPT_TIMEOUT: u64 = 250_000;
const MAX_IDLE: usize = 4;

/// What a test plays; times in seconds.
#[derive(Clone, Copy)]
pub(crate) struct Play {
    /// Limit of connections that the entry VMs know; one that is no less than their number
    /// selects the choice of sites without a shortage of connections.
    pub(crate) known_cap: usize,
    /// Whether servers state their pace.
    pub(crate) paces: bool,
    /// Whether the stated paces leave out the fault.
    pub(crate) hidden: bool,
    /// Factor of the work on the servers of the first zone while the fault lasts.
    pub(crate) slowness: f64,
    /// Share of the requests that these servers reject while the fault lasts.
    pub(crate) rejected: f64,
    /// Share of the servers that are slower for 0.6 s at a time.
    pub(crate) bursts: f64,
    /// Share of all servers that the fault affects; `None` for those of the first zone.
    pub(crate) share: Option<f64>,
    pub(crate) fault: (u64, u64),
    pub(crate) seconds: u64,
}

enum Event {
    Query,
    Wake(usize),
    Open(usize),
    Arrive(usize),
    Done(usize),
    End(usize, Box<(forward::AttemptEnd, backend::Condition)>),
    Cut(usize),
    Expire,
}

struct Query {
    vm: usize,
    kind: usize,
    received: u64,
    exchange: Option<forward::Exchange>,
    wake_at: u64,
    live: Vec<(ids::AttemptId, usize)>,
}

/// Attempt on its way.
struct Live {
    query: usize,
    send: forward::Send,
    server: usize,
    started: u64,
    /// Whether its connection is new.
    opened: bool,
    connected: bool,
    ended: bool,
}

pub(crate) struct Site {
    play: Play,
    start: time::Instant,
    now: u64,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64)>>,
    pending: collections::BTreeMap<u64, Event>,
    sequence: u64,
    random: u64,
    /// State of the random arrivals, which are the same in every play.
    arrivals: u64,
    routes: Vec<sync::Arc<configuration::Route>>,
    fleets: Vec<fleet::Fleet>,
    servers: Vec<Server>,
    /// Times since which connections are idle, by entry VM and server.
    idle: Vec<Vec<u64>>,
    queries: Vec<Query>,
    lives: Vec<Live>,
    tally: Tally,
}

fn route(name: &str, objective: u64, timeout: u64, coverage: f64) -> configuration::Route {
    configuration::Route {
        name: name.to_owned(),
        host: "host".to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        timeout: time::Duration::from_millis(timeout),
        objective: time::Duration::from_millis(objective),
        priority: 0,
        max_attempts: 2,
        open: false,
        target: configuration::Target::Gather(configuration::Gather {
            shards: (0..SHARDS)
                .map(|shard| format!("shard-{shard:02}"))
                .collect(),
            top_k: 10,
            coverage,
        }),
    }
}

impl Site {
    /// Plays the load and returns what the callers got.
    pub(crate) fn run(play: Play) -> Tally {
        let mut site = Self::new(play);
        site.schedule(0, Event::Query);
        site.schedule(0, Event::Expire);
        while let Some(cmp::Reverse((at, sequence))) = site.events.pop() {
            site.now = at;
            if at > play.seconds * 1_000_000 {
                break;
            }
            if let Some(event) = site.pending.remove(&sequence) {
                site.handle(event);
            }
        }
        site.tally
    }

    fn new(play: Play) -> Self {
        let start = time::Instant::now();
        let routes = [
            route("sweep", 200, 800, 0.95),
            route("lookup", 80, 300, 0.85),
        ];
        let mut site = Self {
            play,
            start,
            now: 0,
            events: collections::BinaryHeap::new(),
            pending: collections::BTreeMap::new(),
            sequence: 0,
            random: 7,
            arrivals: 1,
            routes: routes.into_iter().map(sync::Arc::new).collect(),
            fleets: Vec::new(),
            servers: (0..SHARDS * ZONES.len())
                .map(|_| Server::default())
                .collect(),
            idle: (0..VMS * SHARDS * ZONES.len())
                .map(|_| Vec::new())
                .collect(),
            queries: Vec::new(),
            lives: Vec::new(),
            tally: Tally::default(),
        };
        let view = site.view();
        for vm in 0..VMS {
            let limits = fleet::RetryLimits {
                ratio: 0.2,
                slack: 192.0,
                window: time::Duration::from_secs(10),
            };
            let zone = ZONES[vm % ZONES.len()].to_owned();
            let mut fleet = fleet::Fleet::new(zone, 1_000 + vm as u64, limits);
            fleet.update(&view, start);
            site.fleets.push(fleet);
        }
        site
    }

    fn view(&self) -> fleet::View {
        let service = configuration::Service {
            max_connections: self.play.known_cap,
            warm_up: time::Duration::ZERO,
            cold_rate: 0.0,
        };
        let services = (0..SHARDS).map(|shard| (format!("shard-{shard:02}"), service.clone()));
        let configuration = configuration::Configuration {
            version: 1,
            routes: self.routes.iter().map(|route| (**route).clone()).collect(),
            services: services.collect(),
            accounts: Vec::new(),
            limits: configuration::CallerLimits::default(),
        };
        let mut view = fleet::View {
            generation: 1,
            table: Some(sync::Arc::new(configuration::RoutingTable::new(
                configuration,
            ))),
            members: VMS,
            ..fleet::View::default()
        };
        for index in 0..self.servers.len() {
            let (shard, zone) = (index / ZONES.len(), index % ZONES.len());
            let record = registry::Record {
                version: String::new(),
                server: format!("{index:03}"),
                born: 1,
                sequence: 1,
                service: format!("shard-{shard:02}"),
                address: format!("10.0.0.1:{}", 8_000 + index)
                    .parse()
                    .expect("an address"),
                zone: ZONES[zone].to_owned(),
                slots: server::SLOTS as u32,
                phase: registry::Phase::Serving,
                cold_ms: 0,
                age_ms: 0,
                silent: false,
            };
            let known = fleet::KnownServer::new(record, self.start);
            view.servers.insert(format!("{index:03}"), known);
        }
        view
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(cmp::Reverse((at, self.sequence)));
        self.pending.insert(self.sequence, event);
    }

    fn entropy(&mut self) -> u64 {
        next(&mut self.random)
    }

    fn chance(&mut self) -> f64 {
        fraction(self.entropy())
    }

    fn instant(&self) -> time::Instant {
        self.start + time::Duration::from_micros(self.now)
    }

    fn is_faulty(&self, server: usize) -> bool {
        let (from, to) = self.play.fault;
        let is_affected = match self.play.share {
            None => server.is_multiple_of(ZONES.len()),
            Some(share) => (server * 89 % 108) as f64 / 108.0 < share,
        };
        is_affected && (from * 1_000_000..to * 1_000_000).contains(&self.now)
    }

    /// Time that work takes on a server apart from the fault, relative to the usual one.
    fn burst(&self, server: usize) -> f64 {
        let period = self.now / 600_000 * 131 + server as u64 * 7_919;
        let draw = (period.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as f64 / f64::from(1 << 24);
        if draw < self.play.bursts { 2.5 } else { 1.0 }
    }

    /// Time that work takes on a server, relative to the usual one.
    fn pace(&self, server: usize) -> f64 {
        match self.is_faulty(server) {
            true => self.burst(server) * self.play.slowness,
            false => self.burst(server),
        }
    }

    fn delay(&self, live: usize) -> u64 {
        let live = &self.lives[live];
        match self.queries[live.query].vm % ZONES.len() == live.server % ZONES.len() {
            true => DELAYS.0,
            false => DELAYS.1,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Query => self.start_query(),
            Event::Wake(query) if self.queries[query].wake_at == self.now => {
                let (entropy, now, vm) = (self.entropy(), self.instant(), self.queries[query].vm);
                if let Some(exchange) = &mut self.queries[query].exchange {
                    let actions = exchange.wake(&mut self.fleets[vm], entropy, now);
                    self.execute(query, actions);
                }
            }
            Event::Wake(_) => {}
            Event::Open(live) => self.open(live),
            Event::Arrive(live) => self.arrive(live),
            Event::Done(live) => {
                let server = self.lives[live].server;
                self.servers[server].running -= 1;
                let condition = self.condition(server);
                let end = forward::AttemptEnd::Answered(forward::Response {
                    status: 200,
                    headers: http::HeaderMap::new(),
                    signature: Some("signature".to_owned()),
                    body: bytes::Bytes::from_static(&[1; 16]),
                });
                let at = self.now + self.delay(live);
                self.schedule(at, Event::End(live, Box::new((end, condition))));
                self.start_next(server);
            }
            Event::End(live, ended) => self.end(live, ended.0, ended.1),
            Event::Cut(query) => {
                let live: Vec<_> = self.queries[query].live.drain(..).collect();
                for (_, live) in live {
                    self.cut(live);
                }
            }
            Event::Expire => {
                let limit = self.now.saturating_sub(IDLE_TIMEOUT);
                for (index, idle) in self.idle.iter_mut().enumerate() {
                    let former = idle.len();
                    idle.retain(|since| *since > limit || self.now < IDLE_TIMEOUT);
                    let closed = former - idle.len();
                    self.servers[index % (SHARDS * ZONES.len())].connections -= closed;
                }
                self.schedule(self.now + 200_000, Event::Expire);
            }
        }
    }

    fn start_query(&mut self) {
        let gap = -(1.0 - fraction(next(&mut self.arrivals))).ln() / QUERIES_PER_SECOND;
        self.schedule(self.now + (gap * 1e6) as u64 + 1, Event::Query);
        let vm = (next(&mut self.arrivals) % VMS as u64) as usize;
        let kind = usize::from(fraction(next(&mut self.arrivals)) >= SWEEPS);
        let (entropy, now) = (self.entropy(), self.instant());
        let route = sync::Arc::clone(&self.routes[kind]);
        let timing = forward::Timing::new(&route, None, time::Duration::ZERO, now);
        let fleet = &mut self.fleets[vm];
        let (exchange, actions) = forward::Exchange::start(route, 1, timing, fleet, entropy, now);
        self.queries.push(Query {
            vm,
            kind,
            received: self.now,
            exchange: Some(exchange),
            wake_at: 0,
            live: Vec::new(),
        });
        self.execute(self.queries.len() - 1, actions);
    }

    fn execute(&mut self, query: usize, actions: Vec<forward::Action>) {
        for action in actions {
            match action {
                forward::Action::Send(send) => self.send(query, send),
                forward::Action::WakeAt(at) => {
                    let at = at.saturating_duration_since(self.start);
                    let at = (at.as_micros() as u64 + 1).max(self.now + 1);
                    self.queries[query].wake_at = at;
                    self.schedule(at, Event::Wake(query));
                }
                forward::Action::Finish(outcome) => {
                    let (vm, kind) = (self.queries[query].vm, self.queries[query].kind);
                    let elapsed = self.now - self.queries[query].received;
                    let on_time = u128::from(elapsed) <= self.routes[kind].objective.as_micros();
                    self.tally.add(kind, &outcome, on_time, SHARDS);
                    let now = self.instant();
                    if let Some(exchange) = self.queries[query].exchange.take() {
                        exchange.report_sub_requests(&mut self.fleets[vm], now);
                    }
                    self.schedule(self.now + LATE_ATTEMPT_TIMEOUT, Event::Cut(query));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, query: usize, send: forward::Send) {
        let server = usize::from(send.address.port()) - 8_000;
        let link = self.queries[query].vm * self.servers.len() + server;
        let connected = self.idle[link].pop().is_some();
        let (live, attempt) = (self.lives.len(), send.attempt);
        self.lives.push(Live {
            query,
            send,
            server,
            started: self.now,
            opened: !connected,
            connected,
            ended: false,
        });
        self.queries[query].live.push((attempt, live));
        self.tally.sends += 1;
        let is_local = self.queries[query].vm % ZONES.len() == server % ZONES.len();
        self.tally.crossings += usize::from(!is_local);
        let at = self.now + self.delay(live);
        match connected {
            true => self.schedule(at, Event::Arrive(live)),
            false => self.schedule(at, Event::Open(live)),
        }
    }

    fn open(&mut self, live: usize) {
        if self.lives[live].ended {
            return;
        }
        let delay = self.delay(live);
        let server = &mut self.servers[self.lives[live].server];
        if server.connections >= CAP {
            self.tally.resets += 1;
            let end = forward::AttemptEnd::Full;
            self.schedule(
                self.now + delay,
                Event::End(live, Box::new((end, backend::Condition::default()))),
            );
            return;
        }
        server.connections += 1;
        self.tally.peak = self.tally.peak.max(server.connections);
        self.tally.opens += 1;
        self.lives[live].connected = true;
        self.schedule(self.now + 2 * delay, Event::Arrive(live));
    }

    fn arrive(&mut self, live: usize) {
        if self.lives[live].ended {
            return;
        }
        let server = self.lives[live].server;
        if self.is_faulty(server) && self.chance() < self.play.rejected {
            let (at, condition) = (self.now + self.delay(live), self.condition(server));
            let end = forward::AttemptEnd::Rejected;
            self.schedule(at, Event::End(live, Box::new((end, condition))));
            return;
        }
        self.servers[server].queue.push_back(live);
        self.start_next(server);
    }

    fn start_next(&mut self, server: usize) {
        while self.servers[server].running < server::SLOTS {
            let Some(live) = self.servers[server].queue.pop_front() else {
                return;
            };
            if self.lives[live].ended {
                continue;
            }
            self.servers[server].running += 1;
            let kind = self.queries[self.lives[live].query].kind;
            let set_up = if self.lives[live].opened {
                6_000.0
            } else {
                0.0
            };
            let work = [15_000.0, 5_000.0][kind] * (0.8 + 0.4 * self.chance());
            let taken = (work + set_up) * self.pace(server);
            self.schedule(self.now + taken as u64, Event::Done(live));
        }
    }

    fn condition(&self, server: usize) -> backend::Condition {
        let pace = match self.play.hidden {
            true => self.burst(server),
            false => self.pace(server),
        };
        self.servers[server].condition(self.play.paces.then_some(pace))
    }

    fn end(&mut self, index: usize, end: forward::AttemptEnd, condition: backend::Condition) {
        if self.lives[index].ended {
            return;
        }
        self.lives[index].ended = true;
        let (now, entropy) = (self.instant(), self.entropy());
        let live = &self.lives[index];
        let (query, server, send) = (live.query, live.server, live.send.clone());
        let elapsed = time::Duration::from_micros(self.now - live.started);
        let vm = self.queries[query].vm;
        let result = match end {
            forward::AttemptEnd::Answered(_) => fleet::AttemptResult::Answered { elapsed },
            forward::AttemptEnd::Full => fleet::AttemptResult::Full,
            _ => fleet::AttemptResult::Rejected,
        };
        self.record(index, result, condition);
        if live_connection(&end) {
            let idle = &mut self.idle[vm * self.servers.len() + server];
            match idle.len() < send.kept.unwrap_or(MAX_IDLE).min(MAX_IDLE) {
                true => idle.push(self.now),
                false => self.servers[server].connections -= 1,
            }
        }
        let state = &mut self.queries[query];
        state.live.retain(|(_, live)| *live != index);
        if let Some(exchange) = &mut state.exchange {
            let fleet = &mut self.fleets[vm];
            let actions = exchange.attempt_ended(send.attempt, end, fleet, entropy, now);
            self.execute(query, actions);
        }
    }

    fn cut(&mut self, index: usize) {
        if self.lives[index].ended {
            return;
        }
        self.lives[index].ended = true;
        if self.lives[index].connected {
            self.servers[self.lives[index].server].connections -= 1;
        }
        let elapsed = time::Duration::from_micros(self.now - self.lives[index].started);
        self.record(
            index,
            fleet::AttemptResult::Abandoned { elapsed },
            backend::Condition::default(),
        );
    }

    fn record(&mut self, live: usize, result: fleet::AttemptResult, condition: backend::Condition) {
        let now = self.instant();
        let Live { query, send, .. } = &self.lives[live];
        let query = &self.queries[*query];
        let fleet = &mut self.fleets[query.vm];
        let key = (send.service.as_str(), send.server.as_str());
        fleet.record_end(key, send.token, &self.routes[query.kind], result, now);
        fleet.record_condition(key, send.born, &condition, now);
        let _: Vec<hub::Observation> = fleet.take_observations();
        self.tally.withheld += fleet.take_withheld().len();
    }
}

/// Whether the connection of an attempt that ended so can be used again.
fn live_connection(end: &forward::AttemptEnd) -> bool {
    *end != forward::AttemptEnd::Full
}

fn next(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (*state ^ (*state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn fraction(random: u64) -> f64 {
    (random >> 11) as f64 / (1_u64 << 53) as f64
}
