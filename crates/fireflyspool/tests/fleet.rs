//! Choice of backend servers and the retry budget.

use std::{sync, time};

use fireflyspool::{backend, configuration, fleet, hub, registry};

const LIMITS: fleet::RetryLimits = fleet::RetryLimits {
    ratio: 0.2,
    slack: 116.0,
    window: time::Duration::from_secs(10),
};

fn record(server: &str, zone: &str) -> registry::Record {
    let port = 8_000 + server.bytes().map(u16::from).sum::<u16>();
    registry::Record {
        version: String::new(),
        server: server.to_owned(),
        born: 1,
        sequence: 1,
        service: "shard".to_owned(),
        address: format!("10.0.0.1:{port}").parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 2,
        phase: registry::Phase::Serving,
        cold_ms: 0,
        age_ms: 0,
        silent: false,
    }
}

fn route() -> configuration::Route {
    configuration::Route {
        name: "route".to_owned(),
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

struct Harness {
    fleet: fleet::Fleet,
    view: fleet::View,
    now: time::Instant,
}

impl Harness {
    fn new(records: Vec<registry::Record>) -> Self {
        Self::with_incarnation(1, records)
    }

    /// Fleet of an entry VM in zone `a`; the incarnation decides its preferences.
    fn with_incarnation(incarnation: u64, records: Vec<registry::Record>) -> Self {
        let mut harness = Self {
            fleet: fleet::Fleet::new("a".to_owned(), incarnation, LIMITS),
            view: fleet::View::default(),
            now: time::Instant::now(),
        };
        let services = [(
            "shard".to_owned(),
            configuration::Service {
                max_connections: 60,
                warm_up: time::Duration::ZERO,
                cold_rate: 0.0,
            },
        )];
        let configuration = configuration::Configuration {
            version: 1,
            routes: vec![route()],
            services: services.into_iter().collect(),
            accounts: Vec::new(),
            limits: configuration::CallerLimits::default(),
        };
        harness.view.table = Some(sync::Arc::new(configuration::RoutingTable::new(
            configuration,
        )));
        for record in records {
            harness.add_report(record);
        }
        harness
    }

    fn add_report(&mut self, record: registry::Record) {
        let name = record.server.clone();
        let server = fleet::KnownServer::new(record, self.now);
        self.view.servers.insert(name, server);
        self.publish();
    }

    fn publish(&mut self) {
        self.view.generation += 1;
        self.fleet.update(&self.view, self.now);
    }

    fn pick(&mut self, entropy: u64) -> Option<fleet::PickedServer> {
        self.fleet.pick("shard", &[], entropy, self.now)
    }

    /// Picks a server, ends the attempt with the result, and returns the server.
    fn run_attempt(&mut self, entropy: u64, result: fleet::AttemptResult) -> Option<String> {
        let picked = self.pick(entropy)?;
        let key = ("shard", picked.server.as_str());
        self.fleet
            .record_end(key, picked.token, &route(), result, self.now);
        Some(picked.server)
    }
}

const FAST: fleet::AttemptResult = fleet::AttemptResult::Answered {
    elapsed: time::Duration::from_millis(12),
};

/// Guards against attempts at servers that are leaving, silent, cold or in a zone taken out.
#[test]
fn unusable_servers_are_never_picked() {
    let mut leaving = record("leaving", "a");
    leaving.phase = registry::Phase::Leaving;
    let mut silent = record("silent", "a");
    silent.silent = true;
    let mut cold = record("cold", "a");
    cold.cold_ms = 3_000;
    let mut harness = Harness::new(vec![leaving, silent, cold, record("out", "b")]);
    harness.view.zones = hub::ZonesOut {
        revision: 1,
        zones: vec!["b".to_owned()],
    };
    harness.publish();
    assert_eq!(harness.pick(1), None);
    harness.now += time::Duration::from_millis(3_100);
    assert_eq!(harness.pick(1).expect("no longer cold").server, "cold");
}

/// Guards against full load on servers that became cold while their zone was out.
#[test]
fn servers_of_a_zone_taken_back_wait_for_a_new_heartbeat() {
    let mut harness = Harness::new(vec![record("s", "b")]);
    harness.view.zones = hub::ZonesOut {
        revision: 1,
        zones: vec!["b".to_owned()],
    };
    harness.publish();
    harness.now += time::Duration::from_secs(5);
    harness.view.zones = hub::ZonesOut {
        revision: 2,
        zones: Vec::new(),
    };
    harness.publish();
    assert_eq!(
        harness.pick(1),
        None,
        "its last heartbeat was before the zone was taken back"
    );
    assert_eq!(harness.fleet.suspended(), ["s"]);
    harness.now += time::Duration::from_millis(500);
    let mut fresh = record("s", "b");
    fresh.sequence = 2;
    harness.add_report(fresh);
    assert!(harness.pick(1).is_some());
}

/// Guards against load on a server that restarts after a crash.
#[test]
fn an_unreachable_server_is_suspended_until_its_next_heartbeat() {
    let mut harness = Harness::new(vec![record("s", "a")]);
    harness.now += time::Duration::from_secs(1);
    harness.run_attempt(1, fleet::AttemptResult::Unreachable);
    assert_eq!(harness.pick(1), None);
    let mut old = record("s", "a");
    old.age_ms = 400;
    old.sequence = 2;
    harness.now += time::Duration::from_millis(300);
    harness.add_report(old);
    assert_eq!(
        harness.pick(1),
        None,
        "that heartbeat is older than the failure"
    );
    harness.now += time::Duration::from_millis(300);
    let mut fresh = record("s", "a");
    fresh.sequence = 3;
    harness.add_report(fresh);
    assert!(harness.pick(1).is_some());
}

/// Guards against a slow server that keeps getting first attempts.
#[test]
fn slow_servers_get_a_small_share() {
    let mut harness = Harness::new(vec![record("slow", "a"), record("good", "a")]);
    let slow = fleet::AttemptResult::Answered {
        elapsed: time::Duration::from_millis(150),
    };
    let mut to_slow = 0;
    for entropy in 0..200 {
        harness.now += time::Duration::from_millis(5);
        let picked = harness.pick(entropy * 77).expect("both are usable");
        let result = if picked.server == "slow" { slow } else { FAST };
        to_slow += u32::from(picked.server == "slow");
        let key = ("shard", picked.server.as_str());
        harness
            .fleet
            .record_end(key, picked.token, &route(), result, harness.now);
    }
    assert!(to_slow < 40, "{to_slow} of 200 went to the slow server");
    assert!(to_slow > 0, "the slow server is still tried");
}

/// Guards against unnecessary traffic between zones.
#[test]
fn servers_in_the_same_zone_are_preferred() {
    let mut harness = Harness::new(vec![record("near", "a"), record("far", "b")]);
    for entropy in 0..100 {
        harness.now += time::Duration::from_millis(20);
        assert_eq!(
            harness.run_attempt(entropy * 31, FAST).as_deref(),
            Some("near")
        );
    }
}

/// Guards against more retries than all entry VMs together may send in any window.
#[test]
fn the_budget_bounds_the_retries_of_all_entry_vms_in_every_window() {
    const MEMBERS: usize = 15;
    let mut budgets: Vec<_> = (0..MEMBERS)
        .map(|_| fleet::RetryBudget::default())
        .collect();
    let start = time::Instant::now();
    let mut retries: Vec<u64> = Vec::new();
    let mut requests: Vec<u64> = Vec::new();
    // Load alternates between busy and quiet phases; each VM asks for a retry on each turn.
    for millis in (0..60_000_u64).step_by(10) {
        let now = start + time::Duration::from_millis(millis);
        let busy = (millis / 7_000) % 2 == 0;
        let budget = &mut budgets[usize::try_from(millis / 10).expect("small") % MEMBERS];
        if busy || millis % 100 == 0 {
            budget.record_request(&LIMITS, now);
            requests.push(millis);
        }
        if budget.take(&LIMITS, MEMBERS, now) {
            retries.push(millis);
        }
    }
    let within = |list: &[u64], from: u64, to: u64| {
        list.iter().filter(|at| (from..to).contains(*at)).count()
    };
    for from in (0..50_000).step_by(250) {
        let to = from + 10_000;
        let sent = within(&retries, from, to) as f64;
        // The limit refers to the highest number of requests in this window and in the
        // windows that began half a window and a full window earlier.
        let half = from.saturating_sub(5_000);
        let full = from.saturating_sub(10_000);
        let counted = [
            within(&requests, from, to),
            within(&requests, half, half + 10_000),
            within(&requests, full, full + 10_000),
        ];
        let most = counted.into_iter().max().unwrap_or(0) as f64;
        let allowed = LIMITS.ratio * most + LIMITS.slack;
        assert!(
            sent <= allowed,
            "{sent} of {allowed} in the window from {from} ms"
        );
    }
}

/// Guards against a split that deviates from its weights.
#[test]
fn a_split_follows_its_weights() {
    let share = |service: &str, weight| configuration::SplitShare {
        service: service.to_owned(),
        weight,
    };
    let target = configuration::Target::Split(vec![share("one", 1.0), share("three", 3.0)]);
    let split = configuration::Route { target, ..route() };
    let mut harness = Harness::new(Vec::new());
    let chosen: Vec<_> = (0..400)
        .filter_map(|_| harness.fleet.choose_service(&split))
        .collect();
    let ones = chosen.iter().filter(|service| *service == "one").count();
    assert_eq!((chosen.len(), ones), (400, 100));
}

/// Guards against connections from all entry VMs to every server, which accepts
/// fewer connections than there are entry VMs. Each entry VM keeps to one server
/// of the other zones while that server responds, and the entry VMs are spread
/// over these servers.
#[test]
fn an_entry_vm_prefers_one_server_of_the_other_zones() {
    let mut in_b = 0;
    for incarnation in 1..=200 {
        let servers = vec![record("b-1", "b"), record("c-1", "c")];
        let mut harness = Harness::with_incarnation(incarnation, servers);
        let picks: Vec<_> = (0..20)
            .filter_map(|entropy: u64| {
                let mixed = entropy.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                harness.run_attempt(mixed, FAST)
            })
            .collect();
        let to_b = picks.iter().filter(|server| *server == "b-1").count();
        in_b += usize::from(to_b > 10);
        let failed = harness.run_attempt(0, fleet::AttemptResult::Failed);
        let other = harness.pick(0).map(|picked| picked.server);
        assert_ne!(other, failed, "a failure outweighs the preference");
    }
    assert!(
        (60..=140).contains(&in_b),
        "{in_b} of 200 prefer one server"
    );
}

/// Guards against too weak a preference where the preferences for two servers are
/// close: more than three quarters of all picks go to the preferred server.
#[test]
fn most_picks_of_an_entry_vm_go_to_the_preferred_server() {
    let (mut same, mut all) = (0, 0);
    for incarnation in 1..=200 {
        let servers = vec![record("b-1", "b"), record("c-1", "c")];
        let mut harness = Harness::with_incarnation(incarnation, servers);
        let picks = (0..20).filter_map(|entropy: u64| {
            let mixed = entropy.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            harness.run_attempt(mixed, FAST)
        });
        let to_b = picks.filter(|server| server == "b-1").count();
        same += to_b.max(20 - to_b);
        all += 20;
    }
    assert!(
        same * 4 > all * 3,
        "{same} of {all} picks go to the preferred server"
    );
}

/// Guards against a hub that takes a server with a short pause for a slow one,
/// because the fast responses after the pause are not reported.
#[test]
fn a_fast_response_after_a_reported_attempt_is_reported_as_recovery() {
    let mut harness = Harness::new(vec![record("a-1", "a")]);
    harness.run_attempt(1, fleet::AttemptResult::Failed);
    assert!(
        harness.fleet.take_observations().is_empty(),
        "failures shortly after the start are not reported"
    );
    harness.now += time::Duration::from_secs(5);
    for _ in 0..20 {
        harness.run_attempt(1, FAST);
    }
    assert!(
        harness.fleet.take_observations().is_empty(),
        "fast responses alone are not reported"
    );
    let picked = harness.pick(1).expect("a server");
    let key = ("shard", "a-1");
    let elapsed = time::Duration::from_millis(40);
    harness
        .fleet
        .record_overdue(key, picked.token, &route(), elapsed, harness.now);
    harness.run_attempt(1, FAST);
    harness.run_attempt(1, fleet::AttemptResult::Failed);
    harness.now += time::Duration::from_secs(2);
    harness.run_attempt(1, FAST);
    let observations = harness.fleet.take_observations().into_iter();
    let symptoms: Vec<_> = observations.map(|(_, symptom)| symptom).collect();
    let expected = [
        hub::Symptom::Overdue,
        hub::Symptom::Recovered,
        hub::Symptom::Failed,
    ];
    assert_eq!(
        symptoms, expected,
        "2 s after a failure, a fast response is no recovery"
    );
}

/// Connections ahead of the first attempts were opened anew with each view, to one server
/// after the other: five times as many as needed, over the limits of the servers.
#[test]
fn a_connection_is_opened_ahead_to_one_server_of_a_service() {
    let mut harness = Harness::new(vec![record("s1", "b"), record("s2", "c")]);
    let open = |harness: &mut Harness, millis| {
        harness.now += time::Duration::from_millis(millis);
        harness.fleet.servers_to_open(millis, harness.now)
    };
    let first = open(&mut harness, 1);
    assert_eq!(first.len(), 1);
    for _ in 0..10 {
        for _ in 0..4 {
            harness.publish();
            assert!(open(&mut harness, 400).is_empty(), "it is open");
        }
        assert_eq!(open(&mut harness, 400), first, "it is checked");
    }
    let mut harness = Harness::new(vec![record("s1", "b"), record("s2", "c")]);
    open(&mut harness, 1);
    let local = record("s3", "a");
    let address = local.address;
    harness.add_report(local);
    assert_eq!(open(&mut harness, 10), [address], "a better one is known");
    harness.pick(1).expect("a server");
    let later = open(&mut harness, 3_000);
    assert!(later.is_empty(), "attempts keep connections by themselves");
}

/// The first queries of all entry VMs open connections to all services. Their attempts looked
/// overdue, and half of the healthy servers of a large site were listed as outliers.
#[test]
fn the_first_attempt_at_a_server_is_not_reported_as_overdue() {
    let mut harness = Harness::new(vec![record("a-1", "a")]);
    for reports in [0, 1] {
        let picked = harness.pick(1).expect("a server");
        let key = ("shard", "a-1");
        let elapsed = time::Duration::from_millis(40);
        let fleet = &mut harness.fleet;
        fleet.record_overdue(key, picked.token, &route(), elapsed, harness.now);
        assert_eq!(fleet.take_observations().len(), reports);
        fleet.record_end(key, picked.token, &route(), FAST, harness.now);
        fleet.take_observations();
    }
}

/// Harness of a service whose servers accept fewer connections than there are entry VMs.
fn bounded(members: usize) -> Harness {
    let records = ["a", "b", "c"].map(|zone| record(zone, zone));
    let mut harness = Harness::new(records.into());
    harness.view.members = members;
    harness.publish();
    harness
}

/// Guards against an entry VM that opens connections again and again at a server that has as
/// many as it accepts, and against one that never returns to it.
#[test]
fn a_server_that_refuses_connections_is_avoided_for_a_while() {
    let mut harness = bounded(70);
    let full = |harness: &mut Harness| harness.run_attempt(0, fleet::AttemptResult::Full);
    assert_eq!(full(&mut harness).expect("a server"), "a");
    let other = harness.run_attempt(0, FAST).expect("another server");
    assert_ne!(other, "a");
    harness.now += time::Duration::from_millis(390);
    assert_ne!(harness.run_attempt(0, FAST).expect("a server"), "a");
    harness.now += time::Duration::from_millis(830);
    assert_eq!(full(&mut harness).expect("a server"), "a");
    harness.now += time::Duration::from_millis(790);
    assert_ne!(harness.run_attempt(0, FAST).expect("a server"), "a");
    harness.now += time::Duration::from_secs(2);
    assert_eq!(harness.run_attempt(0, FAST).expect("a server"), "a");
}

/// Guards against limits at a site whose servers have room for all entry VMs: a refused
/// connection counts as a rejected request there, as it always did.
#[test]
fn sites_with_enough_connections_are_not_limited() {
    let (mut limited, mut former) = (bounded(60), bounded(60));
    for step in 0..40 {
        let picked = limited.pick(step).expect("a server");
        assert_eq!(picked.kept, None);
        let key = ("shard", picked.server.as_str());
        let (token, now) = (picked.token, limited.now);
        let full = fleet::AttemptResult::Full;
        limited.fleet.record_end(key, token, &route(), full, now);
        let other = former.run_attempt(step, fleet::AttemptResult::Rejected);
        assert_eq!(Some(picked.server), other);
    }
    assert_eq!(limited.fleet.take_withheld().len(), 0);
}

/// Guards against shares whose sum over all entry VMs exceeds what a server accepts, also when
/// one of three servers is out of service.
#[test]
fn shares_of_all_entry_vms_stay_below_the_limit() {
    for silent in [None, Some("a"), Some("b")] {
        let mut kept = [0; 3];
        for vm in 0..76_usize {
            // A third of the entry VMs is in the zone of each server.
            let zone = |index: usize| ["a", "b", "c"][(index + vm) % 3];
            let records = ["a", "b", "c"].into_iter().enumerate();
            let records = records.map(|(index, name)| registry::Record {
                silent: silent == Some(name),
                ..record(name, zone(index))
            });
            let mut harness = Harness::with_incarnation(500 + vm as u64, records.collect());
            harness.view.members = 76;
            harness.publish();
            let mut excluded = Vec::new();
            while let Some(picked) = harness.fleet.pick("shard", &excluded, 0, harness.now) {
                kept[usize::from(picked.server.as_bytes()[0] - b'a')] += picked.kept.unwrap_or(9);
                excluded.push(picked.server);
            }
        }
        assert!(kept.iter().all(|kept| *kept <= 60), "{silent:?}: {kept:?}");
        assert!(kept.iter().sum::<usize>() > 90, "{silent:?}: {kept:?}");
    }
}

/// Harness with two servers in the zone of the entry VM, of which `first` has stated figures:
/// running and queued requests of its 2 slots, and its pace in percent.
fn stated(first: (u32, u32), percent: Option<u32>) -> Harness {
    let mut harness = Harness::new(vec![record("first", "a"), record("second", "a")]);
    let (running, queued) = first;
    let condition = backend::Condition {
        load: Some(backend::Load { running, queued }),
        pace: percent.map(|percent| backend::Pace { slots: 2, percent }),
        ..backend::Condition::default()
    };
    let key = ("shard", "first");
    let now = harness.now;
    harness.fleet.record_condition(key, 1, &condition, now);
    harness
}

/// Number of 60 picks that go to the first server, `age` milliseconds after its figures.
fn picks_of_first((first, percent): ((u32, u32), Option<u32>), age: u64) -> usize {
    let picks = (0..60).filter(|step| {
        let mut harness = stated(first, percent);
        harness.now += time::Duration::from_millis(age);
        harness.pick(step * 77).expect("a server").server == "first"
    });
    picks.count()
}

/// Guards against requests to a server that has stated that it is slow or has requests waiting,
/// and against a figure that keeps them away when it is old.
#[test]
fn a_stated_pace_counts_while_it_is_recent() {
    assert_eq!(picks_of_first(((0, 0), Some(250)), 100), 0);
    assert_eq!(picks_of_first(((2, 2), Some(100)), 100), 0);
    let normal = picks_of_first(((0, 0), Some(100)), 100);
    assert!((15..=45).contains(&normal), "{normal}");
    // Free slots make a server as good as an idle one.
    assert_eq!(picks_of_first(((1, 0), Some(100)), 100), normal);
    // The usual pace has risen by a tenth of the difference.
    let old = picks_of_first(((2, 2), Some(250)), 700);
    assert!(old > 0, "{old}");
}

/// Guards against another choice for servers that state no pace.
#[test]
fn a_server_without_a_pace_is_compared_by_utilization() {
    assert_eq!(picks_of_first(((1, 0), None), 100), 0);
    let old = picks_of_first(((1, 0), None), 260);
    assert_eq!(old, picks_of_first(((0, 0), None), 100));
}

/// Guards against hedges to servers that have just stated that they are slow or full, which
/// delay the requests there and use up the budget of retries.
#[test]
fn only_recent_statements_of_all_other_servers_hold_hedges_back() {
    let second = ["second".to_owned()];
    let held = |first, percent, age, excluded: &[String]| {
        let harness = stated(first, percent);
        let now = harness.now + time::Duration::from_millis(age);
        harness.fleet.is_congested("shard", excluded, now)
    };
    assert!(held((0, 0), Some(200), 100, &second));
    assert!(held((2, 2), Some(100), 100, &second));
    assert!(!held((2, 2), Some(100), 260, &second), "old");
    assert!(
        !held((2, 1), Some(190), 100, &second),
        "neither slow nor full"
    );
    assert!(!held((2, 2), Some(300), 100, &[]), "another server");
    assert!(!held((9, 9), None, 100, &second), "without a pace");
}
