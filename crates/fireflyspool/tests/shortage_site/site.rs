//! The site, its load and its disturbances.

use std::{cmp, collections, sync, time};

use fireflyspool::{admission, configuration, fleet, forward, hub, outcome, registry};

use super::{Server, Tally};
use crate::query_fixture::{SplitMix64, millis};

const VMS: usize = 76;
const SHARDS: usize = 36;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Calm, a fifth slow, calm, 80% rejecting, calm: ends in microseconds.
const PHASES: [u64; 5] = [4_000_000, 14_000_000, 18_000_000, 26_000_000, 30_000_000];
const SLOWDOWN: f64 = 9.0;
const REJECTED: f64 = 0.6;

/// Requests a second, work and value on time and late of sweep, lookup and single request.
const RATES: [f64; 3] = [79.1, 26.4, 26.4];
const WORK_US: [f64; 3] = [15_000.0, 5_000.0, 120_000.0];
const VALUES: [(f64, f64); 3] = [(2.0, 0.1), (1.0, 0.1), (1.0, 0.5)];

/// Which decisions the entry VMs use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decisions {
    /// Random refusal by failure rates.
    Random,
    /// Admission by kind.
    Admission,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    route: usize,
    origin: u64,
    /// Whether it was refused before.
    returned: bool,
    /// Whether that was within a quarter of the objective.
    early: bool,
}

struct Running {
    caller: Caller,
    vm: usize,
    timing: forward::Timing,
    exchange: Option<forward::Exchange>,
    finished: bool,
}

struct Attempt {
    running: usize,
    send: forward::Send,
    server: usize,
    sent: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Reach(usize),
    Done(usize),
    Respond(usize, bool),
    Wake(usize),
    AdmissionWake(usize),
    Publish,
}

pub(crate) struct Site {
    decisions: Decisions,
    random: SplitMix64,
    start: time::Instant,
    now: u64,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    sequence: u64,
    routes: Vec<sync::Arc<configuration::Route>>,
    vms: Vec<(fleet::Fleet, admission::Admission)>,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    running: Vec<Running>,
    attempts: Vec<Attempt>,
    view: fleet::View,
    /// Times of the reports about each server.
    reports: Vec<Vec<u64>>,
    /// Results by route for the whole run, and for the phase of rejections.
    pub(crate) tallies: [[Tally; 3]; 2],
    pub(crate) sends: usize,
}

impl Site {
    pub(crate) fn play(decisions: Decisions, seed: u64) -> Self {
        let mut site = Self::new(decisions, seed);
        while let Some(cmp::Reverse((at, _, event))) = site.events.pop() {
            site.now = at;
            site.handle(event);
        }
        site
    }

    fn new(decisions: Decisions, seed: u64) -> Self {
        let start = time::Instant::now();
        let mut random = SplitMix64(seed);
        let mut view = fleet::View {
            generation: 1,
            members: VMS,
            ..fleet::View::default()
        };
        let mut servers = Vec::new();
        for number in 0..SHARDS * 3 {
            let (shard, zone) = (number / 3, number % 3);
            let record = registry::Record {
                version: String::new(),
                server: format!("s{number:03}"),
                born: 1,
                sequence: 1,
                service: format!("shard{shard:02}"),
                address: format!("10.0.0.1:{}", 8_000 + number)
                    .parse()
                    .expect("an address"),
                zone: ZONES[zone].to_owned(),
                slots: 4,
                phase: registry::Phase::Serving,
                cold_ms: 0,
                age_ms: 0,
                silent: false,
            };
            servers.push(Server {
                name: record.server.clone(),
                zone,
                slows: unit(&mut random) < 0.2,
                rejects: unit(&mut random) < 0.8,
                ..Server::default()
            });
            let known = fleet::KnownServer::new(record.clone(), start);
            view.servers.insert(record.server, known);
        }
        let limits = fleet::RetryLimits {
            ratio: 0.2,
            slack: 192.0,
            window: millis(10_000),
        };
        let vms = (0..VMS).map(|vm| {
            let zone = ZONES[vm % 3].to_owned();
            let mut fleet = fleet::Fleet::new(zone, vm as u64 + 1, limits);
            fleet.update(&view, start);
            (fleet, admission::Admission::new())
        });
        let vms = vms.collect();
        let mut site = Self {
            decisions,
            random,
            start,
            now: 0,
            events: collections::BinaryHeap::new(),
            sequence: 0,
            routes: routes(),
            vms,
            reports: vec![Vec::new(); servers.len()],
            servers,
            callers: Vec::new(),
            running: Vec::new(),
            attempts: Vec::new(),
            view,
            tallies: Default::default(),
            sends: 0,
        };
        for (route, rate) in RATES.iter().enumerate() {
            let mut at = 0.0;
            loop {
                at += -(1.0 - unit(&mut site.random)).ln() / rate * 1e6;
                if at >= PHASES[4] as f64 {
                    break;
                }
                let (origin, returned, early) = (at as u64, false, false);
                site.call(
                    origin,
                    Caller {
                        route,
                        origin,
                        returned,
                        early,
                    },
                );
            }
        }
        for tick in 1..PHASES[4] / 100_000 {
            site.at(tick * 100_000, Event::Publish);
        }
        site
    }

    fn at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(cmp::Reverse((at, self.sequence, event)));
    }

    fn call(&mut self, at: u64, caller: Caller) {
        self.callers.push(caller);
        self.at(at, Event::Arrive(self.callers.len() - 1));
    }

    fn instant(&self) -> time::Instant {
        self.start + time::Duration::from_micros(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(caller) => self.arrive(self.callers[caller]),
            Event::Reach(attempt) => self.reach(attempt),
            Event::Done(attempt) => self.done(attempt),
            Event::Respond(attempt, ran) => self.respond(attempt, ran),
            Event::Wake(number) => {
                let (now, entropy) = (self.instant(), self.random.next());
                let running = &mut self.running[number];
                let fleet = &mut self.vms[running.vm].0;
                if let Some(exchange) = running.exchange.as_mut().filter(|_| !running.finished) {
                    let actions = exchange.wake(fleet, entropy, now);
                    self.execute(number, actions);
                }
            }
            Event::AdmissionWake(vm) => self.admit(vm, admission::Event::Timer),
            Event::Publish => self.publish(),
        }
    }

    fn arrive(&mut self, caller: Caller) {
        let now = self.instant();
        let route = sync::Arc::clone(&self.routes[caller.route]);
        let spent = time::Duration::from_micros(self.now - caller.origin);
        let vm = (self.random.next() % VMS as u64) as usize;
        let timeout = route.timeout.saturating_sub(spent);
        let timing = forward::Timing::new(&route, Some(timeout), millis(0), now);
        let number = self.running.len();
        self.running.push(Running {
            caller,
            vm,
            timing,
            exchange: None,
            finished: false,
        });
        if self.decisions == Decisions::Random {
            self.start(number, None);
            return;
        }
        let kind = kind(&route);
        let entropy = self.random.next();
        let fleet = &mut self.vms[vm].0;
        let forecast = forward::forecast(&route, kind, &timing, fleet, entropy, now);
        let event = admission::Event::Assessed {
            ticket: number as u64,
            kind,
            deadline: timing.deadline,
            cost: if caller.route < 2 { SHARDS as u32 } else { 1 },
            forecast,
        };
        self.admit(vm, event);
    }

    fn admit(&mut self, vm: usize, event: admission::Event) {
        let limits = admission::Limits {
            queue: 64,
            low_share: 150,
            paced: false,
        };
        let now = self.instant();
        let admission = &mut self.vms[vm].1;
        let actions = admission.handle(event, &limits, now);
        let wake = admission.next_wake();
        for action in actions {
            match action {
                admission::Action::Start { ticket } => {
                    let number = ticket as usize;
                    let kind = kind(&self.routes[self.running[number].caller.route]);
                    self.start(number, Some(kind));
                }
                admission::Action::Refuse {
                    ticket,
                    retry_after,
                    ..
                } => self.answered(ticket as usize, &forward::Outcome::Refused { retry_after }),
            }
        }
        if let Some(wake) = wake {
            let at = wake.saturating_duration_since(self.start).as_micros() as u64;
            self.at(at.max(self.now), Event::AdmissionWake(vm));
        }
    }

    fn start(&mut self, number: usize, kind: Option<outcome::Kind>) {
        let (now, entropy) = (self.instant(), self.random.next());
        let running = &mut self.running[number];
        let route = sync::Arc::clone(&self.routes[running.caller.route]);
        let fleet = &mut self.vms[running.vm].0;
        let content = (number as u64, kind);
        let (exchange, actions) =
            forward::Exchange::start_of_kind(route, content, running.timing, fleet, entropy, now);
        running.exchange = Some(exchange);
        self.execute(number, actions);
        let running = &mut self.running[number];
        let fleet = &mut self.vms[running.vm].0;
        if let Some(exchange) = running.exchange.as_mut().filter(|_| !running.finished) {
            let actions = exchange.attempts_written(fleet, now);
            self.execute(number, actions);
        }
    }

    fn execute(&mut self, number: usize, actions: Vec<forward::Action>) {
        for action in actions {
            match action {
                forward::Action::Send(send) => {
                    let server = send.server[1..].parse().expect("a number");
                    let vm = self.running[number].vm;
                    self.attempts.push(Attempt {
                        running: number,
                        send,
                        server,
                        sent: self.now,
                    });
                    self.sends += 1;
                    let at = self.now + self.delay(vm, server);
                    self.at(at, Event::Reach(self.attempts.len() - 1));
                }
                forward::Action::WakeAt(at) => {
                    let at = at.saturating_duration_since(self.start).as_micros() as u64 + 1;
                    self.at(at.max(self.now), Event::Wake(number));
                }
                forward::Action::Finish(outcome) => {
                    let now = self.instant();
                    let running = &mut self.running[number];
                    running.finished = true;
                    let fleet = &mut self.vms[running.vm].0;
                    if let Some(exchange) = &running.exchange {
                        exchange.report_sub_requests(fleet, now);
                    }
                    self.answered(number, &outcome);
                }
                forward::Action::Delegate(_) | forward::Action::Report(_) => {
                    unreachable!("no VM delegates")
                }
            }
        }
    }

    fn answered(&mut self, number: usize, outcome: &forward::Outcome) {
        let running = &self.running[number];
        let (caller, vm) = (running.caller, running.vm);
        let is_late = self.instant() > running.timing.objective;
        if self.decisions == Decisions::Admission && running.exchange.is_some() {
            let served = matches!(
                outcome,
                forward::Outcome::Passed(_) | forward::Outcome::Gathered { .. }
            );
            let end = match served && !is_late {
                true => admission::End::InTime,
                false => admission::End::Late,
            };
            let ticket = number as u64;
            self.admit(vm, admission::Event::Ended { ticket, end });
        }
        let route = sync::Arc::clone(&self.routes[caller.route]);
        let elapsed = time::Duration::from_micros(self.now + 2_000 - caller.origin);
        let refused = matches!(outcome, forward::Outcome::Refused { .. });
        if let forward::Outcome::Refused { retry_after } = outcome
            && !caller.returned
        {
            let third = route.timeout.saturating_sub(elapsed) / 3;
            let at = self.now + 2_000 + third.min(*retry_after).as_micros() as u64;
            let returned = true;
            let early = elapsed <= route.objective / 4;
            let caller = Caller {
                returned,
                early,
                ..caller
            };
            self.call(at, caller);
            return;
        }
        let coverage = match outcome {
            forward::Outcome::Gathered { missing, .. } => 1.0 - *missing as f64 / SHARDS as f64,
            forward::Outcome::Passed(_) => 1.0,
            _ => 0.0,
        };
        let (full, late) = VALUES[caller.route];
        let on_time = elapsed <= route.objective;
        let value = coverage * coverage * if on_time { full } else { late };
        let value = match caller.early && coverage > 0.0 {
            true => (full + value) / 2.0,
            false => value,
        };
        let in_rejections = (PHASES[2]..PHASES[3]).contains(&caller.origin);
        for tallies in self.tallies.iter_mut().take(1 + usize::from(in_rejections)) {
            let tally = &mut tallies[caller.route];
            tally.sent += 1;
            tally.on_time += usize::from(coverage > 0.0 && on_time);
            tally.late += usize::from(coverage > 0.0 && !on_time);
            tally.refused += usize::from(refused);
            tally.failed += usize::from(coverage == 0.0 && !refused);
            tally.returned += usize::from(caller.returned);
            tally.value += value;
        }
    }

    fn delay(&self, vm: usize, server: usize) -> u64 {
        match vm % 3 == self.servers[server].zone {
            true => 300,
            false => 3_500,
        }
    }

    fn reach(&mut self, attempt: usize) {
        let number = self.attempts[attempt].server;
        let rejecting = (PHASES[2]..PHASES[3]).contains(&self.now);
        if rejecting && self.servers[number].rejects && unit(&mut self.random) < REJECTED {
            self.reply(attempt, false);
        } else if self.servers[number].take(attempt) {
            self.serve(attempt);
        }
    }

    fn serve(&mut self, attempt: usize) {
        let Attempt {
            running, server, ..
        } = self.attempts[attempt];
        let slow = self.servers[server].slows && (PHASES[0]..PHASES[1]).contains(&self.now);
        let work = WORK_US[self.running[running].caller.route];
        let factor = (0.7 + 0.6 * unit(&mut self.random)) * if slow { SLOWDOWN } else { 1.0 };
        self.at(self.now + (work * factor) as u64, Event::Done(attempt));
    }

    fn done(&mut self, attempt: usize) {
        if let Some(next) = self.servers[self.attempts[attempt].server].end() {
            self.serve(next);
        }
        self.reply(attempt, true);
    }

    fn reply(&mut self, attempt: usize, ran: bool) {
        let Attempt {
            running, server, ..
        } = self.attempts[attempt];
        let at = self.now + self.delay(self.running[running].vm, server);
        self.at(at, Event::Respond(attempt, ran));
    }

    fn respond(&mut self, number: usize, ran: bool) {
        let (now, entropy) = (self.instant(), self.random.next());
        let attempt = &self.attempts[number];
        let condition = self.servers[attempt.server].condition();
        let running = &mut self.running[attempt.running];
        let route = &self.routes[running.caller.route];
        let fleet = &mut self.vms[running.vm].0;
        let send = &attempt.send;
        let key = (send.service.as_str(), send.server.as_str());
        let elapsed = time::Duration::from_micros(self.now - attempt.sent);
        let result = match ran {
            true => fleet::AttemptResult::Answered { elapsed },
            false => fleet::AttemptResult::Rejected,
        };
        fleet.record_end(key, send.token, route, result, now);
        fleet.record_condition(key, send.born, &condition, now);
        let end = match ran {
            true => forward::AttemptEnd::Answered(forward::Response {
                status: 200,
                headers: http::HeaderMap::new(),
                signature: Some(String::new()),
                body: bytes::Bytes::new(),
            }),
            false => forward::AttemptEnd::Rejected,
        };
        let mut actions = Vec::new();
        if let Some(exchange) = running.exchange.as_mut().filter(|_| !running.finished) {
            actions = exchange.attempt_ended(send.attempt, end, fleet, entropy, now);
        }
        let owner = attempt.running;
        self.execute(owner, actions);
    }

    /// Lists servers that several reports found slow, like the control VMs.
    fn publish(&mut self) {
        let now = self.now;
        for (fleet, _) in &mut self.vms {
            for (server, symptom) in fleet.take_observations() {
                let number: usize = server[1..].parse().expect("a number");
                if matches!(symptom, hub::Symptom::Overdue | hub::Symptom::Failed) {
                    self.reports[number].push(now);
                }
            }
        }
        let listed = self
            .reports
            .iter_mut()
            .enumerate()
            .filter_map(|(number, reports)| {
                reports.retain(|at| now - at <= 1_300_000);
                (reports.len() >= 4).then(|| self.servers[number].name.clone())
            });
        let listed: Vec<_> = listed.collect();
        if listed != self.view.outliers {
            self.view.outliers = listed;
            self.view.generation += 1;
            let now = self.instant();
            for (fleet, _) in &mut self.vms {
                fleet.update(&self.view, now);
            }
        }
    }
}

fn unit(random: &mut SplitMix64) -> f64 {
    (random.next() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Kind of a route of this site, which uses the priorities 1 and 2.
fn kind(route: &configuration::Route) -> outcome::Kind {
    let ranking = admission::KindRanking::new(&[1, 2]);
    ranking.kind(route.priority).expect("two priorities")
}

fn routes() -> Vec<sync::Arc<configuration::Route>> {
    let shards: Vec<_> = (0..SHARDS)
        .map(|shard| format!("shard{shard:02}"))
        .collect();
    let gather = |coverage| {
        configuration::Target::Gather(configuration::Gather {
            shards: shards.clone(),
            top_k: 2,
            coverage,
        })
    };
    let shares = shards.iter().map(|service| configuration::SplitShare {
        service: service.clone(),
        weight: 1.0,
    });
    let split = configuration::Target::Split(shares.collect());
    let routes = [
        ("sweep", 800, 200, 1, gather(0.95)),
        ("lookup", 300, 80, 2, gather(0.85)),
        ("single", 3_000, 500, 2, split),
    ];
    let make = |(name, timeout, objective, priority, target)| configuration::Route {
        name: String::from(name),
        host: "host".to_owned(),
        prefix: "/".to_owned(),
        idempotent: name != "single",
        timeout: millis(timeout),
        objective: millis(objective),
        priority,
        max_attempts: 2,
        open: false,
        target,
    };
    routes.map(make).map(sync::Arc::new).into()
}
