//! Entry VMs, backend servers of two versions, a collector and a log in virtual time.

#[path = "../query_fixture/random.rs"]
#[allow(dead_code, reason = "only the generator is used")]
mod random;

use std::{fmt, time};

use fireflyspool::{configuration, fleet, registry, rollout, state};

const STEP: time::Duration = time::Duration::from_millis(20);

/// Time between two views of an entry VM.
const VIEW_INTERVAL: u64 = 400;

/// When the target version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    AtOnce,
    Later,
    UnderLoad,
    OnOneRoute,
}

impl Fault {
    pub(crate) const ALL: [Self; 5] = [
        Self::None,
        Self::AtOnce,
        Self::Later,
        Self::UnderLoad,
        Self::OnOneRoute,
    ];
}

/// What the oracle has seen.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Requests until the deadline, and those at the target version.
    pub(crate) all: u64,
    pub(crate) target: u64,
    /// Times in milliseconds of the bad responses of the target version, and of the last
    /// request to it.
    bad: Vec<u64>,
    last: u64,
    /// Whether the rollout was completed; `None` if it was in progress at its deadline.
    pub(crate) completed: Option<bool>,
}

impl Outcome {
    /// Milliseconds from the 50th bad response to the last request of a version rolled back.
    pub(crate) fn rollback_delay(&self) -> u64 {
        match (self.completed, self.bad.get(49)) {
            (Some(false), Some(at)) => self.last.saturating_sub(*at),
            _ => 0,
        }
    }
}

pub(crate) struct Site {
    pub(crate) fault: Fault,
    /// Servers of each version; those of the target may be none.
    pub(crate) servers: u16,
    members: u64,
    duration: u64,
    /// Requests in each step.
    load: u64,
    /// Share of the responses that a fault makes bad, and whether they fail.
    bad_share: f64,
    fails: bool,
    /// Share of the responses of both versions that are slow or fail in the middle third.
    trouble: f64,
    /// When the collector loses its counts, in milliseconds.
    collector_lost: u64,
    random: random::SplitMix64,
}

impl fmt::Debug for Site {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = formatter.debug_struct("Site");
        fields
            .field("fault", &self.fault)
            .field("fails", &self.fails);
        fields
            .field("members", &self.members)
            .field("duration", &self.duration);
        fields
            .field("load", &self.load)
            .field("bad_share", &self.bad_share);
        fields.field("trouble", &self.trouble);
        fields
            .field("collector_lost", &self.collector_lost)
            .finish()
    }
}

impl Site {
    pub(crate) fn random(seed: u64) -> Self {
        let mut site = Self {
            fault: Fault::None,
            servers: 3,
            members: 0,
            duration: 0,
            load: 0,
            bad_share: 0.0,
            fails: false,
            trouble: 0.0,
            collector_lost: 0,
            random: random::SplitMix64(seed),
        };
        site.fault = Fault::ALL[site.below(5) as usize];
        site.members = 20 + site.below(280);
        site.duration = 20_000 + site.below(30_000);
        site.load = 2 + site.below(4);
        site.bad_share = 0.3 + 0.7 * site.chance();
        site.fails = site.below(2) == 0;
        site.trouble = 0.4 * site.chance();
        site.collector_lost = site.below(site.duration);
        site
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.random.below(limit)
    }

    fn chance(&mut self) -> f64 {
        self.below(1 << 20) as f64 / f64::from(1 << 20)
    }

    fn is_bad(&mut self, route: u64, elapsed: u64) -> bool {
        let busy = elapsed > self.duration / 4;
        let active = match self.fault {
            Fault::None => false,
            Fault::AtOnce => true,
            Fault::Later => elapsed > self.duration / 2,
            Fault::UnderLoad => busy,
            Fault::OnOneRoute => route == 0,
        };
        active && self.chance() < self.bad_share
    }

    /// Response of a server, and whether it counts as bad for its version.
    fn respond(&mut self, target: bool, route: u64, elapsed: u64) -> (fleet::AttemptResult, bool) {
        let usual = 0.010 + 0.006 * self.chance();
        let answered = |seconds| fleet::AttemptResult::Answered {
            elapsed: time::Duration::from_secs_f64(seconds),
        };
        if target && self.is_bad(route, elapsed) {
            let result = match self.fails {
                true => fleet::AttemptResult::Failed,
                false => answered(usual * 5.0),
            };
            return (result, true);
        }
        let middle = elapsed > self.duration / 3 && elapsed < self.duration * 2 / 3;
        if middle && self.chance() < self.trouble {
            return match self.below(3) {
                0 => (fleet::AttemptResult::Failed, false),
                1 => (fleet::AttemptResult::Rejected, false),
                _ => (answered(usual * 6.0), false),
            };
        }
        (answered(usual), false)
    }

    fn view(&self, now: time::Instant) -> fleet::View {
        let mut view = fleet::View::default();
        for (version, count) in [("v1", 3), ("v2", self.servers)] {
            for number in 0..count {
                let name = format!("{version}-{number}");
                let port = 8_000 + number + 100 * u16::from(version == "v2");
                let record = registry::Record {
                    version: version.to_owned(),
                    server: name.clone(),
                    born: 1,
                    sequence: 1,
                    service: "shard".to_owned(),
                    address: ([10, 0, 0, 1], port).into(),
                    zone: "a".to_owned(),
                    slots: 4,
                    phase: registry::Phase::Serving,
                    cold_ms: 0,
                    age_ms: 0,
                    silent: false,
                };
                view.servers
                    .insert(name, fleet::KnownServer::new(record, now));
            }
        }
        view
    }

    /// Runs the rollout until some seconds after its deadline.
    pub(crate) fn run(&mut self) -> Outcome {
        let start = time::Instant::now();
        let limits = rollout::Limits::default();
        let mut control = state::ControlState::default();
        let [share, ..] = limits.stages();
        let command = state::IdempotentCommand::StartRollout {
            service: "shard".to_owned(),
            start: rollout::Start {
                target: "v2".to_owned(),
                duration: time::Duration::from_millis(self.duration),
                share,
                stamped: 1_000_000,
            },
        };
        control.apply(&state::Entry::Idempotent(command));
        let mut collector = rollout::Collector::new(limits);
        collector.update(&control.rollouts, 1_000_000, start);
        let mut view = self.view(start);
        let retries = fleet::RetryLimits {
            ratio: 0.2,
            slack: 100.0,
            window: time::Duration::from_secs(10),
        };
        let make = |member| {
            let fleet = fleet::Fleet::new("a".to_owned(), member, retries).with_rollouts(true);
            (fleet, rollout::Tally::new(member))
        };
        let mut members: Vec<_> = (0..self.members).map(make).collect();
        let mut outcome = Outcome::default();
        // The last entry VM is cut off from the control VMs in the second half.
        let cut = members.len() - 1;
        for step in 0.. {
            let now = start + STEP * step;
            let elapsed = u64::from(step) * 20;
            if elapsed > self.duration + 3_000 {
                break;
            }
            if elapsed / 20 == self.collector_lost / 20 {
                collector = rollout::Collector::new(limits);
                collector.update(&control.rollouts, 1_000_000 + elapsed, now);
            }
            view.rollouts = control.rollouts.clone();
            view.confirmed = Some(now);
            view.generation = u64::from(step) + 1;
            for (index, (fleet, tally)) in members.iter_mut().enumerate() {
                let connected = index != cut || elapsed < self.duration / 2;
                let due = (elapsed + 20 * index as u64).is_multiple_of(VIEW_INTERVAL);
                if connected && (due || step == 0) {
                    fleet.update(&view, now);
                }
                for report in tally.take_due(now) {
                    if connected {
                        collector.add(report, now);
                    }
                }
            }
            for _ in 0..self.load {
                self.request(&mut members, elapsed, now, &mut outcome);
            }
            if elapsed.is_multiple_of(200) {
                self.decide(&mut control, &mut collector, elapsed, now);
                outcome.completed = match control.rollouts.get("shard") {
                    Some(rollout::AnyRollout::Completed(_)) => Some(true),
                    Some(rollout::AnyRollout::RolledBack(_)) => Some(false),
                    _ => None,
                };
            }
            if outcome.completed == Some(true) {
                break;
            }
        }
        outcome
    }

    fn request(
        &mut self,
        members: &mut [(fleet::Fleet, rollout::Tally)],
        elapsed: u64,
        now: time::Instant,
        outcome: &mut Outcome,
    ) {
        let member = self.below(members.len() as u64) as usize;
        let number = self.below(2);
        let route = route(number);
        let entropy = self.below(u64::MAX);
        let (fleet, tally) = &mut members[member];
        let Some(picked) = fleet.pick_first("shard", &[], entropy, now) else {
            return;
        };
        let target = picked.server.starts_with("v2");
        let (result, bad) = self.respond(target, number, elapsed);
        if elapsed <= self.duration {
            outcome.all += 1;
            outcome.target += u64::from(target);
        }
        if target {
            outcome.last = elapsed;
        }
        if bad {
            outcome.bad.push(elapsed);
        }
        let key = ("shard", picked.server.as_str());
        fleet.record_end(key, picked.token, &route, result, now);
        for sample in fleet.take_samples() {
            tally.add(sample, now);
        }
    }

    fn decide(
        &self,
        control: &mut state::ControlState,
        collector: &mut rollout::Collector,
        elapsed: u64,
        now: time::Instant,
    ) {
        let situation = rollout::Situation {
            elapsed: time::Duration::from_millis(elapsed),
            servers: usize::from(self.servers),
        };
        let step = collector.decide("shard", situation, now);
        let command = state::IdempotentCommand::AdvanceRollout {
            service: "shard".to_owned(),
            number: 1,
            step,
            stamped: 1_000_000 + elapsed,
        };
        control.apply(&state::Entry::Idempotent(command));
        collector.update(&control.rollouts, 1_000_000 + elapsed, now);
    }
}

fn route(number: u64) -> configuration::Route {
    configuration::Route {
        name: format!("route-{number}"),
        host: "host".to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        timeout: time::Duration::from_secs(1),
        objective: time::Duration::from_millis(100),
        priority: 0,
        max_attempts: 2,
        open: false,
        target: configuration::Target::Service("shard".to_owned()),
    }
}
