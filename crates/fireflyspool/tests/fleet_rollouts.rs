//! Choice of backend servers by version on one entry VM.

use std::time;

use fireflyspool::{fleet, registry, rollout, state};

const LIMITS: fleet::RetryLimits = fleet::RetryLimits {
    ratio: 0.2,
    slack: 100.0,
    window: time::Duration::from_secs(10),
};

struct Entry {
    fleet: fleet::Fleet,
    view: fleet::View,
    control: state::ControlState,
    now: time::Instant,
}

impl Entry {
    /// Entry VM that knows two servers of `v1`.
    fn new() -> Self {
        let mut entry = Self {
            fleet: fleet::Fleet::new("a".to_owned(), 1, LIMITS).with_rollouts(true),
            view: fleet::View::default(),
            control: state::ControlState::default(),
            now: time::Instant::now(),
        };
        entry.report("v1", registry::Phase::Serving);
        entry.publish(time::Duration::from_millis(1));
        entry
    }

    /// Two servers of a version report.
    fn report(&mut self, version: &str, phase: registry::Phase) {
        for number in 0..2 {
            let name = format!("{version}-{number}");
            let port = 8_000 + number + version.bytes().map(u16::from).sum::<u16>();
            let record = registry::Record {
                version: version.to_owned(),
                server: name.clone(),
                born: 1,
                sequence: 1,
                service: "shard".to_owned(),
                address: ([10, 0, 0, 1], port * 2 + number).into(),
                zone: "a".to_owned(),
                slots: 2,
                phase,
                cold_ms: 0,
                age_ms: 0,
                silent: false,
            };
            let server = fleet::KnownServer::new(record, self.now);
            self.view.servers.insert(name, server);
        }
    }

    /// Applies a command and publishes the view, confirmed now.
    fn apply(&mut self, command: state::IdempotentCommand) {
        self.control.apply(&state::Entry::Idempotent(command));
        self.publish(time::Duration::ZERO);
    }

    fn publish(&mut self, later: time::Duration) {
        self.now += later;
        self.view.rollouts = self.control.rollouts.clone();
        self.view.confirmed = Some(self.now);
        self.view.generation += 1;
        self.fleet.update(&self.view, self.now);
    }

    /// Starts a rollout to `v2` with half of the first attempts.
    fn start(&mut self) {
        self.apply(state::IdempotentCommand::StartRollout {
            service: "shard".to_owned(),
            start: rollout::Start {
                target: "v2".to_owned(),
                duration: time::Duration::from_secs(30),
                share: 500,
                stamped: 1_000,
            },
        });
    }

    fn advance(&mut self, step: rollout::Step) {
        self.apply(state::IdempotentCommand::AdvanceRollout {
            service: "shard".to_owned(),
            number: 1,
            step,
            stamped: 2_000,
        });
    }

    /// Number of 20 first attempts, and of 20 retries, that `v2` gets; the number without a
    /// server in the third place.
    fn targets(&mut self) -> (usize, usize, usize) {
        let (mut first, mut retries, mut none) = (0, 0, 0);
        for number in 0..40 {
            let picked = match number % 2 {
                0 => self.fleet.pick_first("shard", &[], number, self.now),
                _ => self.fleet.pick("shard", &[], number, self.now),
            };
            let Some(picked) = picked else {
                none += 1;
                continue;
            };
            let is_target = usize::from(picked.server.starts_with("v2"));
            match number % 2 {
                0 => first += is_target,
                _ => retries += is_target,
            }
            let route = fireflyspool::configuration::Route {
                name: "route".to_owned(),
                host: "host".to_owned(),
                prefix: "/".to_owned(),
                idempotent: true,
                timeout: time::Duration::from_secs(1),
                objective: time::Duration::from_millis(100),
                priority: 0,
                max_attempts: 2,
                open: false,
                target: fireflyspool::configuration::Target::Service("shard".to_owned()),
            };
            let result = fleet::AttemptResult::Answered {
                elapsed: time::Duration::from_millis(10),
            };
            let key = ("shard", picked.server.as_str());
            self.fleet
                .record_end(key, picked.token, &route, result, self.now);
        }
        (first, retries, none)
    }
}

/// Guards against new servers that get requests before the rollout is known, hedges and retries
/// at the target version, and requests to it under a view that was not confirmed.
#[test]
fn the_target_version_gets_its_share_of_first_attempts_only() {
    let mut entry = Entry::new();
    entry.report("v2", registry::Phase::Serving);
    entry.publish(time::Duration::from_millis(100));
    assert_eq!(entry.targets(), (0, 0, 0));
    entry.start();
    assert_eq!(entry.targets(), (10, 0, 0));
    assert_eq!(entry.fleet.take_samples().len(), 20);
    entry.now += time::Duration::from_millis(1_600);
    assert_eq!(entry.targets(), (0, 0, 0));
}

/// Guards against entry VMs without a server when the old ones stop at the completion, before
/// their view says so or after.
#[test]
fn the_target_version_replaces_an_old_one_that_is_gone() {
    let mut entry = Entry::new();
    entry.report("v2", registry::Phase::Serving);
    entry.start();
    entry.report("v1", registry::Phase::Gone);
    entry.publish(time::Duration::from_millis(100));
    assert_eq!(entry.targets(), (20, 20, 0));
    entry.now += time::Duration::from_secs(5);
    assert_eq!(entry.targets(), (20, 20, 0));
    let mut entry = Entry::new();
    entry.report("v2", registry::Phase::Serving);
    entry.start();
    entry.advance(rollout::Step::Complete);
    assert_eq!(entry.targets(), (20, 20, 0));
}

/// Guards against requests to a version that was rolled back: when no other server is left, and
/// when it had got fewer than its share before.
#[test]
fn a_version_that_was_rolled_back_gets_nothing() {
    let mut entry = Entry::new();
    entry.start();
    assert_eq!(entry.targets(), (0, 0, 0));
    entry.report("v2", registry::Phase::Serving);
    let reason = rollout::Reason::Failures;
    entry.advance(rollout::Step::RollBack { reason });
    assert_eq!(entry.targets(), (0, 0, 0));
    entry.report("v1", registry::Phase::Gone);
    entry.publish(time::Duration::from_millis(100));
    assert_eq!(entry.targets(), (0, 0, 40));
}

/// Guards against a service without servers when those of a new version replace all others
/// without a rollout, and against a new version that is never used without one.
#[test]
fn a_new_version_without_a_rollout_is_used_in_the_end() {
    let mut entry = Entry::new();
    entry.report("v2", registry::Phase::Serving);
    entry.publish(time::Duration::from_millis(100));
    entry.report("v1", registry::Phase::Gone);
    entry.publish(time::Duration::from_millis(100));
    assert_eq!(entry.targets(), (20, 20, 0));
    let mut entry = Entry::new();
    entry.report("v2", registry::Phase::Serving);
    entry.publish(time::Duration::from_millis(100));
    entry.publish(time::Duration::from_secs(9));
    let (first, retries, none) = entry.targets();
    assert!(first + retries > 0 && none == 0);
}
