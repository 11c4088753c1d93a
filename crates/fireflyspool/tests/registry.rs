//! Merging of reports of backend servers.

use std::time;

use fireflyspool::registry;

const TIMEOUT: time::Duration = time::Duration::from_secs(4);

fn report(server: &str, born: u64, sequence: u64) -> registry::Report {
    registry::Report {
        version: String::new(),
        server: server.to_owned(),
        born,
        sequence,
        service: "shard-1".to_owned(),
        address: format!("10.0.0.1:{}", 8_000 + server.len())
            .parse()
            .expect("an address"),
        zone: "a".to_owned(),
        slots: 2,
        phase: registry::Phase::Serving,
        cold_left: time::Duration::ZERO,
    }
}

fn phase(registry: &registry::Registry, server: &str, now: time::Instant) -> registry::Phase {
    registry.record(server, now).expect("a known server").phase
}

/// Guards against a delayed heartbeat that turns a leaving server back to serving.
#[test]
fn a_leaving_incarnation_never_serves_again() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(TIMEOUT);
    registry.merge(report("s", 1, 1), now, now);
    let mut leaving = report("s", 1, 5);
    leaving.phase = registry::Phase::Leaving;
    registry.merge(leaving, now, now);
    registry.merge(report("s", 1, 3), now, now);
    registry.merge(report("s", 1, 6), now, now);
    assert_eq!(phase(&registry, "s", now), registry::Phase::Leaving);
}

/// Guards against a heartbeat delayed by a partition that revives a gone incarnation.
#[test]
fn a_gone_incarnation_stays_gone_and_the_next_one_serves() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(TIMEOUT);
    registry.merge(report("s", 1, 1), now, now);
    registry.mark_gone("s", Some(1), now);
    let stale = registry.merge(report("s", 1, 9), now, now);
    assert_ne!(stale, registry::MergeOutcome::Changed);
    assert_eq!(phase(&registry, "s", now), registry::Phase::Gone);
    registry.merge(report("s", 2, 1), now, now);
    assert_eq!(phase(&registry, "s", now), registry::Phase::Serving);
    let late = registry.mark_gone("s", Some(1), now);
    assert_eq!(
        late,
        registry::MergeOutcome::Stale,
        "departure of the previous incarnation"
    );
}

/// Guards against requests to a server whose address now belongs to another one.
#[test]
fn an_address_belongs_to_the_server_started_last() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(TIMEOUT);
    registry.merge(report("a", 1, 1), now, now);
    registry.merge(report("b", 2, 1), now, now);
    assert_eq!(phase(&registry, "a", now), registry::Phase::Gone);
    let late = registry.merge(report("a", 1, 2), now, now);
    assert_eq!(
        late,
        registry::MergeOutcome::Stale,
        "heartbeat of the previous server at the address"
    );
    assert_eq!(phase(&registry, "b", now), registry::Phase::Serving);
}

/// Guards against requests to a server that has stopped sending reports.
#[test]
fn a_server_is_silent_after_the_timeout_until_its_next_report() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(TIMEOUT);
    registry.merge(report("s", 1, 1), now, now);
    let later = now + TIMEOUT * 2;
    registry.expire(later);
    assert!(
        registry
            .record("s", later)
            .is_some_and(|record| record.silent)
    );
    let position = registry.position();
    registry.merge(report("s", 1, 2), later, later);
    assert!(
        registry
            .record("s", later)
            .is_some_and(|record| !record.silent)
    );
    assert!(
        registry.position() > position,
        "followers must get the change"
    );
}

/// Guards against a change that a follower misses, also after the log was truncated.
#[test]
fn a_follower_gets_every_change_since_its_position() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(TIMEOUT);
    for born in 1..6_000 {
        registry.merge(report("s", born, 1), now, now);
        registry.merge(report("longer", born, 1), now, now);
    }
    let all = registry.since(1, now);
    assert_eq!(
        all.records.len(),
        2,
        "all records if the log does not reach back"
    );
    let position = registry.position();
    registry.merge(report("s", 9_000, 1), now, now);
    let changes = registry.since(position, now);
    assert_eq!(changes.records.len(), 1);
    assert_eq!(changes.records[0].born, 9_000);
}

#[derive(Clone, Debug)]
struct Reports(Vec<(u64, u64, u8)>);

impl quickcheck::Arbitrary for Reports {
    fn arbitrary(random: &mut quickcheck::Gen) -> Self {
        let report = |random: &mut quickcheck::Gen| {
            (
                u64::arbitrary(random) % 3,
                u64::arbitrary(random) % 6,
                u8::arbitrary(random) % 4,
            )
        };
        let count = usize::arbitrary(random) % 12;
        Self((0..count).map(|_| report(random)).collect())
    }
}

/// Guards against hubs with different final states because the same reports reached
/// them in another order.
#[test]
fn the_order_of_reports_does_not_matter() {
    fn build(reports: &[(u64, u64, u8)], now: time::Instant) -> Option<(u64, registry::Phase)> {
        let mut registry = registry::Registry::new(TIMEOUT);
        for (born, sequence, kind) in reports {
            let mut report = report("s", *born, *sequence);
            // A leaving server reports this phase until the end of the incarnation.
            if *kind == 0 {
                report.phase = registry::Phase::Leaving;
            }
            registry.merge(report, now, now);
        }
        let record = registry.record("s", now)?;
        Some((record.born, record.phase))
    }
    fn property(reports: Reports, rotation: usize) -> bool {
        let now = time::Instant::now();
        let mut reordered = reports.0.clone();
        reordered.reverse();
        let middle = rotation % reordered.len().max(1);
        reordered.rotate_left(middle);
        build(&reports.0, now) == build(&reordered, now)
    }
    quickcheck::QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Reports, usize) -> bool);
}

/// Guards against a late first report that puts a server into use whose departure was
/// acknowledged before.
#[test]
fn a_departure_before_the_first_report_is_final() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(TIMEOUT);
    let outcome = registry.mark_gone("s", Some(5), now);
    assert_eq!(outcome, registry::MergeOutcome::Changed);
    registry.merge(report("s", 5, 1), now, now);
    assert_eq!(phase(&registry, "s", now), registry::Phase::Gone);
    registry.merge(report("s", 6, 1), now, now);
    assert_eq!(
        phase(&registry, "s", now),
        registry::Phase::Serving,
        "the next incarnation serves"
    );
}

/// Guards against a departure that marks the incarnation before the one that left.
#[test]
fn a_departure_of_a_later_incarnation_than_the_known_one_is_final() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(TIMEOUT);
    registry.merge(report("s", 1, 9), now, now);
    registry.mark_gone("s", Some(2), now);
    registry.merge(report("s", 2, 1), now, now);
    assert_eq!(phase(&registry, "s", now), registry::Phase::Gone);
}

/// Guards against a departure that is forgotten because another server has the address.
#[test]
fn a_leaving_server_whose_address_has_a_new_user_is_gone() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(TIMEOUT);
    registry.merge(report("b", 2, 1), now, now);
    let mut leaving = report("a", 1, 5);
    leaving.phase = registry::Phase::Leaving;
    registry.merge(leaving, now, now);
    registry.mark_gone("b", Some(2), now);
    registry.merge(report("a", 1, 4), now, now);
    assert_eq!(phase(&registry, "a", now), registry::Phase::Gone);
}

/// Guards against a late report of a departed server that takes the address from its new user.
#[test]
fn a_departed_server_claims_no_address() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(TIMEOUT);
    registry.mark_gone("a", Some(7), now);
    registry.merge(report("b", 2, 1), now, now);
    registry.merge(report("a", 7, 1), now, now);
    assert_eq!(phase(&registry, "b", now), registry::Phase::Serving);
}

/// Guards against memory that departures of unknown servers fill.
#[test]
fn departures_of_unknown_servers_are_bounded() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(TIMEOUT);
    for number in 0..10_000 {
        registry.mark_gone(&format!("s{number}"), Some(1), now);
    }
    assert!(registry.records(now).len() <= 4_096);
    let outcome = registry.mark_gone("another", Some(1), now);
    assert_eq!(outcome, registry::MergeOutcome::Unrecorded);
    let later = now + time::Duration::from_secs(601);
    registry.expire(later);
    let outcome = registry.mark_gone("another", Some(1), later);
    assert_eq!(outcome, registry::MergeOutcome::Changed);
}
