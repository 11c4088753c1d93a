//! Merging of reports about backend servers.

use std::time;

use fireflyspool::registry;

const PATIENCE: time::Duration = time::Duration::from_secs(4);

fn report(server: &str, born: u64, sequence: u64) -> registry::Report {
    registry::Report {
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
fn a_leaving_server_never_serves_again_in_one_life() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(PATIENCE);
    registry.merge(report("s", 1, 1), now, now);
    let mut leaving = report("s", 1, 5);
    leaving.phase = registry::Phase::Leaving;
    registry.merge(leaving, now, now);
    registry.merge(report("s", 1, 3), now, now);
    registry.merge(report("s", 1, 6), now, now);
    assert_eq!(phase(&registry, "s", now), registry::Phase::Leaving);
}

/// Guards against a heartbeat from before a partition that revives an ended life.
#[test]
fn a_departed_life_stays_gone_and_the_next_one_serves() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(PATIENCE);
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
        "the departure of the former life"
    );
}

/// Guards against requests to the former holder of an address that was given on.
#[test]
fn an_address_belongs_to_the_server_born_last() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(PATIENCE);
    registry.merge(report("a", 1, 1), now, now);
    registry.merge(report("b", 2, 1), now, now);
    assert_eq!(phase(&registry, "a", now), registry::Phase::Gone);
    let late = registry.merge(report("a", 1, 2), now, now);
    assert_eq!(
        late,
        registry::MergeOutcome::Stale,
        "a heartbeat of the former holder"
    );
    assert_eq!(phase(&registry, "b", now), registry::Phase::Serving);
}

/// Guards against use of a server that has stopped to report.
#[test]
fn a_silent_server_is_marked_and_comes_back_with_its_next_report() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(PATIENCE);
    registry.merge(report("s", 1, 1), now, now);
    let later = now + PATIENCE * 2;
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
    assert!(registry.position() > position, "followers must be told");
}

/// Guards against a change that a follower misses, also when the log was cut.
#[test]
fn a_follower_gets_every_change_since_its_position() {
    let now = time::Instant::now();
    let mut registry = registry::Registry::new(PATIENCE);
    for born in 1..6_000 {
        registry.merge(report("s", born, 1), now, now);
        registry.merge(report("longer", born, 1), now, now);
    }
    let all = registry.since(1, now);
    assert_eq!(all.records.len(), 2, "beyond the log, all records");
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
        let one = |random: &mut quickcheck::Gen| {
            (
                u64::arbitrary(random) % 3,
                u64::arbitrary(random) % 6,
                u8::arbitrary(random) % 4,
            )
        };
        let count = usize::arbitrary(random) % 12;
        Self((0..count).map(|_| one(random)).collect())
    }
}

/// Guards against hubs that end with different beliefs because the same
/// reports reached them in another order.
#[test]
fn the_order_of_reports_does_not_matter() {
    fn build(reports: &[(u64, u64, u8)], now: time::Instant) -> Option<(u64, registry::Phase)> {
        let mut registry = registry::Registry::new(PATIENCE);
        for (born, sequence, kind) in reports {
            let mut report = report("s", *born, *sequence);
            // A server that leaves says so in every later report of that life.
            if *kind == 0 {
                report.phase = registry::Phase::Leaving;
            }
            registry.merge(report, now, now);
        }
        let record = registry.record("s", now)?;
        Some((record.born, record.phase))
    }
    fn property(reports: Reports, by: usize) -> bool {
        let now = time::Instant::now();
        let mut turned = reports.0.clone();
        turned.reverse();
        let middle = by % turned.len().max(1);
        turned.rotate_left(middle);
        build(&reports.0, now) == build(&turned, now)
    }
    quickcheck::QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Reports, usize) -> bool);
}
