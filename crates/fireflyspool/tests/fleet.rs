//! Choice of backend servers and the budget for repeats.

use std::{sync, time};

use fireflyspool::{configuration, fleet, hub, registry};

const LIMITS: fleet::RetryLimits = fleet::RetryLimits {
    ratio: 0.2,
    slack: 116.0,
    window: time::Duration::from_secs(10),
};

fn record(server: &str, zone: &str) -> registry::Record {
    let port = 8_000 + server.bytes().map(u16::from).sum::<u16>();
    registry::Record {
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
        target: configuration::Target::Service("shard".to_owned()),
    }
}

struct Site {
    fleet: fleet::Fleet,
    view: fleet::View,
    now: time::Instant,
}

impl Site {
    fn new(records: Vec<registry::Record>) -> Self {
        Self::of(1, records)
    }

    /// What the process of this incarnation knows.
    fn of(incarnation: u64, records: Vec<registry::Record>) -> Self {
        let mut site = Self {
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
            limits: configuration::CallerLimits::default(),
        };
        site.view.table = Some(sync::Arc::new(configuration::RoutingTable::new(
            configuration,
        )));
        for record in records {
            site.learn(record);
        }
        site
    }

    fn learn(&mut self, record: registry::Record) {
        let name = record.server.clone();
        let server = fleet::KnownServer::new(record, self.now);
        self.view.servers.insert(name, server);
        self.follow();
    }

    fn follow(&mut self) {
        self.view.generation += 1;
        self.fleet.update(&self.view, self.now);
    }

    fn pick(&mut self, entropy: u64) -> Option<fleet::PickedServer> {
        self.fleet.pick("shard", &[], entropy, self.now)
    }

    /// Picks, ends the attempt, and returns the server.
    fn run(&mut self, entropy: u64, result: fleet::AttemptResult) -> Option<String> {
        let picked = self.pick(entropy)?;
        let place = ("shard", picked.server.as_str());
        self.fleet
            .record_end(place, picked.token, &route(), result, self.now);
        Some(picked.server)
    }
}

const FAST: fleet::AttemptResult = fleet::AttemptResult::Answered {
    elapsed: time::Duration::from_millis(12),
};

/// Guards against work for servers that are leaving, silent, cold or in a zone taken out.
#[test]
fn unusable_servers_are_never_picked() {
    let mut leaving = record("leaving", "a");
    leaving.phase = registry::Phase::Leaving;
    let mut silent = record("silent", "a");
    silent.silent = true;
    let mut cold = record("cold", "a");
    cold.cold_ms = 3_000;
    let mut site = Site::new(vec![leaving, silent, cold, record("out", "b")]);
    site.view.zones = hub::ZonesOut {
        revision: 1,
        zones: vec!["b".to_owned()],
    };
    site.follow();
    assert_eq!(site.pick(1), None);
    site.now += time::Duration::from_millis(3_100);
    assert_eq!(site.pick(1).expect("no longer cold").server, "cold");
}

/// Guards against full load for servers that became cold while their zone was out.
#[test]
fn servers_of_a_returned_zone_wait_for_a_fresh_report() {
    let mut site = Site::new(vec![record("s", "b")]);
    site.view.zones = hub::ZonesOut {
        revision: 1,
        zones: vec!["b".to_owned()],
    };
    site.follow();
    site.now += time::Duration::from_secs(5);
    site.view.zones = hub::ZonesOut {
        revision: 2,
        zones: Vec::new(),
    };
    site.follow();
    assert_eq!(
        site.pick(1),
        None,
        "its last report is older than the return"
    );
    assert_eq!(site.fleet.suspended(), ["s"]);
    site.now += time::Duration::from_millis(500);
    let mut fresh = record("s", "b");
    fresh.sequence = 2;
    site.learn(fresh);
    assert!(site.pick(1).is_some());
}

/// Guards against load for a server that is on its way back from a crash.
#[test]
fn an_unreachable_server_is_suspended_until_it_is_heard_again() {
    let mut site = Site::new(vec![record("s", "a")]);
    site.now += time::Duration::from_secs(1);
    site.run(1, fleet::AttemptResult::Unreachable);
    assert_eq!(site.pick(1), None);
    let mut old = record("s", "a");
    old.age_ms = 400;
    old.sequence = 2;
    site.now += time::Duration::from_millis(300);
    site.learn(old);
    assert_eq!(site.pick(1), None, "that report is older than the failure");
    site.now += time::Duration::from_millis(300);
    let mut fresh = record("s", "a");
    fresh.sequence = 3;
    site.learn(fresh);
    assert!(site.pick(1).is_some());
}

/// Guards against a slow server that keeps getting first attempts.
#[test]
fn slow_and_failing_servers_lose_their_share() {
    let mut site = Site::new(vec![record("slow", "a"), record("good", "a")]);
    let slow = fleet::AttemptResult::Answered {
        elapsed: time::Duration::from_millis(150),
    };
    let mut to_slow = 0;
    for entropy in 0..200 {
        site.now += time::Duration::from_millis(5);
        let picked = site.pick(entropy * 77).expect("both are usable");
        let result = if picked.server == "slow" { slow } else { FAST };
        to_slow += u32::from(picked.server == "slow");
        let place = ("shard", picked.server.as_str());
        site.fleet
            .record_end(place, picked.token, &route(), result, site.now);
    }
    assert!(to_slow < 40, "{to_slow} of 200 went to the slow server");
    assert!(to_slow > 0, "it is tried");
}

/// Guards against traffic between zones without need.
#[test]
fn servers_of_the_own_zone_are_preferred() {
    let mut site = Site::new(vec![record("near", "a"), record("far", "b")]);
    for entropy in 0..100 {
        site.now += time::Duration::from_millis(20);
        assert_eq!(site.run(entropy * 31, FAST).as_deref(), Some("near"));
    }
}

/// Guards against more repeats than all entry VMs together may send in any window.
#[test]
fn the_budget_bounds_the_repeats_of_all_entry_vms_in_every_window() {
    const MEMBERS: usize = 15;
    let mut budgets: Vec<_> = (0..MEMBERS)
        .map(|_| fleet::RetryBudget::default())
        .collect();
    let start = time::Instant::now();
    let mut repeats: Vec<u64> = Vec::new();
    let mut requests: Vec<u64> = Vec::new();
    // A wave of load: each VM wants a repeat for each request.
    for millis in (0..60_000_u64).step_by(10) {
        let now = start + time::Duration::from_millis(millis);
        let busy = (millis / 7_000) % 2 == 0;
        let budget = &mut budgets[usize::try_from(millis / 10).expect("small") % MEMBERS];
        if busy || millis % 100 == 0 {
            budget.record_request(&LIMITS, now);
            requests.push(millis);
        }
        if budget.take(&LIMITS, MEMBERS, now) {
            repeats.push(millis);
        }
    }
    let within = |list: &[u64], from: u64, to: u64| {
        list.iter().filter(|at| (from..to).contains(*at)).count()
    };
    for from in (0..50_000).step_by(250) {
        let to = from + 10_000;
        let sent = within(&repeats, from, to) as f64;
        // The rule counts the best of this window and the ones before it.
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

/// Guards against a split that misses its weights.
#[test]
fn a_split_follows_its_weights() {
    let share = |service: &str, weight| configuration::SplitShare {
        service: service.to_owned(),
        weight,
    };
    let target = configuration::Target::Split(vec![share("one", 1.0), share("three", 3.0)]);
    let split = configuration::Route { target, ..route() };
    let mut site = Site::new(Vec::new());
    let chosen: Vec<_> = (0..400)
        .filter_map(|_| site.fleet.choose_service(&split))
        .collect();
    let ones = chosen.iter().filter(|service| *service == "one").count();
    assert_eq!((chosen.len(), ones), (400, 100));
}

/// Guards against connections of all entry VMs to every server, which accepts
/// fewer than there are entry VMs: each one keeps to one of the other zones as
/// long as that server answers, and the entry VMs spread over them.
#[test]
fn an_entry_vm_keeps_to_one_server_of_the_other_zones() {
    let mut in_b = 0;
    for incarnation in 1..=200 {
        let servers = vec![record("b-1", "b"), record("c-1", "c")];
        let mut site = Site::of(incarnation, servers);
        let picks: Vec<_> = (0..20)
            .filter_map(|entropy: u64| {
                let mixed = entropy.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                site.run(mixed, FAST)
            })
            .collect();
        let to_b = picks.iter().filter(|server| *server == "b-1").count();
        in_b += usize::from(to_b > 10);
        let failed = site.run(0, fleet::AttemptResult::Failed);
        let other = site.pick(0).map(|picked| picked.server);
        assert_ne!(other, failed, "a failure outweighs the preference");
    }
    assert!(
        (60..=140).contains(&in_b),
        "{in_b} of 200 prefer one server"
    );
}

/// Guards against the same when preferences are close: three picks of four stay.
#[test]
fn most_hedges_of_an_entry_vm_go_to_the_same_server() {
    let (mut same, mut all) = (0, 0);
    for incarnation in 1..=200 {
        let servers = vec![record("b-1", "b"), record("c-1", "c")];
        let mut site = Site::of(incarnation, servers);
        let picks = (0..20).filter_map(|entropy: u64| {
            let mixed = entropy.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            site.run(mixed, FAST)
        });
        let to_b = picks.filter(|server| server == "b-1").count();
        same += to_b.max(20 - to_b);
        all += 20;
    }
    assert!(same * 4 > all * 3, "{same} of {all} picks stay");
}

/// Guards against a hub that takes a short pause for a slow server, because nobody
/// tells it of the fast answers after it.
#[test]
fn a_fast_answer_after_a_reported_attempt_is_a_sign_too() {
    let mut site = Site::new(vec![record("a-1", "a")]);
    site.run(1, fleet::AttemptResult::Failed);
    assert!(
        site.fleet.take_observations().is_empty(),
        "it has just started"
    );
    site.now += time::Duration::from_secs(5);
    for _ in 0..20 {
        site.run(1, FAST);
    }
    assert!(
        site.fleet.take_observations().is_empty(),
        "nothing was reported"
    );
    let picked = site.pick(1).expect("a server");
    let place = ("shard", "a-1");
    let elapsed = time::Duration::from_millis(40);
    site.fleet
        .record_overdue(place, picked.token, &route(), elapsed, site.now);
    site.run(1, FAST);
    site.run(1, fleet::AttemptResult::Failed);
    site.now += time::Duration::from_secs(2);
    site.run(1, FAST);
    let signs = site.fleet.take_observations().into_iter();
    let symptoms: Vec<_> = signs.map(|(_, symptom)| symptom).collect();
    let expected = [
        hub::Symptom::Overdue,
        hub::Symptom::Recovered,
        hub::Symptom::Failed,
    ];
    assert_eq!(symptoms, expected, "what lies 2 s back is not contradicted");
}
