//! Attempts that were given up, whose servers may end under them.

use std::time;

use fireflyspool::{backend, containment, fleet, hub, registry};

const CONTENT: u64 = 7;
const SERVICE: &str = "desk";
const TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// An entry VM that knows one server, with its fleet and the time.
struct Vm {
    fleet: fleet::Fleet,
    view: fleet::View,
    /// Start time of the server's incarnation.
    born: u64,
    now: time::Instant,
}

fn record(server: &str, born: u64, phase: registry::Phase) -> registry::Record {
    registry::Record {
        version: String::new(),
        server: server.to_owned(),
        born,
        sequence: 1,
        service: SERVICE.to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 2,
        phase,
        cold_ms: 0,
        age_ms: 0,
        silent: false,
    }
}

impl Vm {
    fn new() -> Self {
        let limits = fleet::RetryLimits {
            ratio: 0.2,
            slack: 10.0,
            window: time::Duration::from_secs(10),
        };
        let mut vm = Self {
            fleet: fleet::Fleet::new("a".to_owned(), 1, limits),
            view: fleet::View::default(),
            born: 1,
            now: time::Instant::now(),
        };
        vm.report("s", 1, registry::Phase::Serving);
        vm
    }

    /// Has the control VMs report a state of a server.
    fn report(&mut self, server: &str, born: u64, phase: registry::Phase) {
        let known = fleet::KnownServer::new(record(server, born, phase), self.now);
        self.view.servers.insert(server.to_owned(), known);
        self.view.generation += 1;
        self.fleet.update(&self.view, self.now);
    }

    fn give_up(&mut self, content: u64) {
        self.give_up_keeping(content, None);
    }

    /// Has the server end and come back as another incarnation.
    fn restart(&mut self) {
        let born = self.born;
        self.fleet.record_crashed("s", born, self.now);
        self.born += 1;
        self.report("s", self.born, registry::Phase::Serving);
    }

    /// Gives up an attempt at a server to which `kept` idle connections may be kept.
    fn give_up_keeping(&mut self, content: u64, kept: Option<usize>) {
        let attempt = containment::GivenUp {
            request: content.to_string(),
            content,
            service: SERVICE.to_owned(),
            server: "s".to_owned(),
            born: self.born,
            address: "10.0.0.1:80".parse().expect("an address"),
            kept,
            probe: false,
            until: self.now + TIMEOUT,
        };
        self.fleet.watch(attempt, self.now);
    }

    /// Makes the check that is due after some time, with this result.
    fn check(&mut self, after: time::Duration, accepts: Option<bool>) {
        self.now += after;
        for check in self.fleet.due_checks(self.now) {
            self.fleet.record_check(&check, accepts, self.now);
        }
    }

    /// Contents under which crashes are to be reported.
    fn crashes(&mut self) -> Vec<u64> {
        let observations = self.fleet.take_observations().into_iter();
        let contents = observations.filter_map(|(_, symptom)| match symptom {
            hub::Symptom::Crashed {
                content, unseen, ..
            } => {
                assert!(unseen);
                Some(content)
            }
            _ => None,
        });
        contents.collect()
    }
}

/// Guards against a crash that nobody learns of because the attempt that would have met it is
/// gone: by a refused connection, a later incarnation, or another server at the address.
#[test]
fn a_server_that_ends_after_an_attempt_was_given_up_counts_as_crashed() {
    let second = time::Duration::from_secs(1);
    let ends: [&dyn Fn(&mut Vm); 4] = [
        &|vm| vm.check(second, Some(false)),
        &|vm| vm.report("s", 2, registry::Phase::Serving),
        &|vm| {
            vm.report("s", 1, registry::Phase::Gone);
            vm.report("t", 2, registry::Phase::Serving);
        },
        &|vm| vm.fleet.record_crashed("s", 1, vm.now),
    ];
    for (number, end) in ends.into_iter().enumerate() {
        let mut vm = Vm::new();
        vm.give_up(CONTENT);
        if number == 2 {
            // The records of both servers come with one view.
            let known = fleet::KnownServer::new(record("t", 2, registry::Phase::Serving), vm.now);
            vm.view.servers.insert("t".to_owned(), known);
        }
        end(&mut vm);
        assert_eq!(vm.crashes(), [CONTENT], "case {number}");
        assert_eq!(vm.fleet.take_unseen_crashes().len(), 1);
        assert_eq!(
            vm.fleet.verdict(CONTENT, vm.now),
            containment::Verdict::Probe
        );
        assert!(!vm.fleet.is_watching());
    }
}

/// Guards against innocent contents that are suspected: the server outlives the attempt, goes
/// dark, or leaves as it has stated.
#[test]
fn a_server_that_lives_on_or_leaves_is_no_sign() {
    let second = time::Duration::from_secs(1);
    let ends: [&dyn Fn(&mut Vm); 4] = [
        &|vm| vm.check(second, Some(true)),
        &|vm| vm.fleet.record_alive("s", 1, vm.now + second),
        &|vm| vm.report("s", 1, registry::Phase::Leaving),
        &|vm| {
            let condition = backend::Condition {
                leaving: true,
                ..backend::Condition::default()
            };
            let key = (SERVICE, "s");
            vm.fleet.record_condition(key, 1, &condition, vm.now);
        },
    ];
    for (number, end) in ends.into_iter().enumerate() {
        let mut vm = Vm::new();
        vm.give_up(CONTENT);
        end(&mut vm);
        vm.check(second, Some(false));
        vm.report("s", 2, registry::Phase::Serving);
        assert!(vm.crashes().is_empty(), "case {number}");
    }
    let mut vm = Vm::new();
    vm.give_up(CONTENT);
    for _ in 0..60 {
        vm.check(second, None);
    }
    assert!(!vm.fleet.is_watching(), "a dark server is forgotten");
    assert!(vm.crashes().is_empty());
}

/// Guards against a server that is found alive while the attempt may still run.
#[test]
fn a_server_is_watched_for_as_long_as_it_may_run_the_attempt() {
    let mut vm = Vm::new();
    vm.give_up(CONTENT);
    vm.fleet.record_alive("s", 1, vm.now);
    vm.check(TIMEOUT * 3 / 4, Some(true));
    vm.check(TIMEOUT * 3 / 4, Some(false));
    assert_eq!(vm.crashes(), [CONTENT]);
}

/// A guilty content was hidden by innocent ones: the few that become suspect in a second were
/// those that had come first.
#[test]
fn a_content_that_recurs_is_not_hidden_by_others_at_the_same_server() {
    let mut vm = Vm::new();
    for round in 0..3 {
        for other in 0..50 {
            vm.give_up(1_000 + round * 50 + other);
        }
        vm.give_up(CONTENT);
        vm.restart();
        vm.now += time::Duration::from_secs(2);
    }
    assert!(vm.crashes().contains(&CONTENT));
    assert_eq!(
        vm.fleet.verdict(CONTENT, vm.now),
        containment::Verdict::Probe
    );
}

/// Guards against innocent contents that are refused because their attempts were given up before
/// a zone lost power: no probe has failed.
#[test]
fn a_zone_that_ends_under_many_attempts_refuses_no_content() {
    let mut vm = Vm::new();
    for content in 0..300 {
        for _ in 0..4 {
            vm.give_up(content);
            vm.restart();
        }
    }
    for content in 0..300 {
        assert!(!vm.fleet.is_refused(content, vm.now));
    }
}

/// Guards against checks that take connections from the other entry VMs.
#[test]
fn a_server_with_few_connections_is_checked_only_after_a_failure() {
    let mut vm = Vm::new();
    vm.give_up_keeping(CONTENT, Some(0));
    vm.now += TIMEOUT;
    assert!(vm.fleet.due_checks(vm.now).is_empty());
    assert!(vm.fleet.hurry_check("s", vm.now));
    vm.check(time::Duration::ZERO, Some(false));
    assert_eq!(vm.crashes(), [CONTENT]);
}

/// Guards against memory and checks that grow with the callers that leave.
#[test]
fn a_storm_of_callers_that_leave_is_bounded() {
    let mut vm = Vm::new();
    for content in 0..100_000 {
        vm.give_up(content);
    }
    vm.now += TIMEOUT;
    assert_eq!(vm.fleet.due_checks(vm.now).len(), 1, "one for the server");
    assert!(vm.fleet.due_checks(vm.now).is_empty(), "not at once again");
    vm.fleet.record_crashed("s", 1, vm.now);
    let reported = vm.crashes().len();
    assert!(reported <= 4, "few contents are reported");
    assert_eq!(vm.fleet.take_unseen_crashes().len(), reported);
}
