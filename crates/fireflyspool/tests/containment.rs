//! Verdicts on contents from the crashes that VMs know of.

use std::time;

use fireflyspool::containment::{Crash, Ledger, Record, Verdict};

const CONTENT: u64 = 1;

/// Crash of a server, born at 1.
fn crash(server: usize, probe: bool) -> Crash {
    Crash {
        server: format!("s{server}"),
        born: 1,
        probe,
        unseen: false,
    }
}

fn verdict(ledger: &Ledger, now: time::Instant) -> Verdict {
    ledger.verdict(CONTENT, 0.0, now)
}

fn is_refused(ledger: &Ledger, now: time::Instant) -> bool {
    matches!(verdict(ledger, now), Verdict::Refused { .. })
}

/// A zone that loses power ends many servers under whatever they run.
#[test]
fn crashes_at_one_moment_refuse_no_content() {
    let now = time::Instant::now();
    let mut ledger = Ledger::default();
    for server in 0..50 {
        ledger.add(CONTENT, crash(server, false), now);
    }
    assert_eq!(verdict(&ledger, now), Verdict::Probe);
}

/// Guards against innocent contents that are refused because one server fell over often, or was
/// seen to by several VMs.
#[test]
fn one_server_that_ended_counts_once() {
    let now = time::Instant::now();
    let mut ledger = Ledger::default();
    for probe in [false, true] {
        ledger.add(CONTENT, crash(0, probe), now);
        ledger.add(CONTENT, crash(1, probe), now);
    }
    assert_eq!(verdict(&ledger, now), Verdict::Probe);
    ledger.add(CONTENT, crash(2, false), now);
    assert!(is_refused(&ledger, now));
}

/// Guards against a content that is refused for good, and one that ends a server each minute.
#[test]
fn a_refusal_grows_with_each_probe_that_fails() {
    let start = time::Instant::now();
    let mut ledger = Ledger::default();
    ledger.add(CONTENT, crash(0, false), start);
    ledger.add(CONTENT, crash(1, false), start);
    let mut now = start;
    let mut refusals = Vec::new();
    for probe in 2..5 {
        assert_eq!(verdict(&ledger, now), Verdict::Probe);
        ledger.add(CONTENT, crash(probe, true), now);
        let Verdict::Refused { until } = verdict(&ledger, now) else {
            panic!("not refused after probe {probe}");
        };
        refusals.push(until - now);
        now = until;
    }
    assert!(refusals[0] <= time::Duration::from_secs(60), "{refusals:?}");
    assert!(refusals.windows(2).all(|pair| pair[1] >= pair[0] * 10));
    now += time::Duration::from_secs(600);
    assert_eq!(verdict(&ledger, now), Verdict::Accepted);
}

/// Guards against an innocent content that is refused because servers ended after its attempts
/// were given up, and one of them by chance during a probe.
#[test]
fn unseen_crashes_take_one_more_failed_probe() {
    let now = time::Instant::now();
    let mut ledger = Ledger::default();
    let unseen = |server| Crash {
        unseen: true,
        ..crash(server, false)
    };
    for server in 0..20 {
        ledger.add(CONTENT, unseen(server), now);
    }
    assert_eq!(verdict(&ledger, now), Verdict::Probe);
    ledger.add(CONTENT, crash(20, true), now);
    assert_eq!(verdict(&ledger, now), Verdict::Probe);
    ledger.add(CONTENT, crash(21, true), now);
    let Verdict::Refused { until } = verdict(&ledger, now) else {
        panic!("not refused");
    };
    assert!(
        until - now <= time::Duration::from_secs(60),
        "the first refusal"
    );
}

/// Guards against unseen crashes that leave no room for those that attempts met.
#[test]
fn seen_crashes_count_beside_unseen_ones() {
    let now = time::Instant::now();
    let mut ledger = Ledger::default();
    for server in 0..20 {
        let unseen = Crash {
            unseen: true,
            ..crash(server, false)
        };
        ledger.add(CONTENT, unseen, now);
    }
    ledger.add(CONTENT, crash(20, false), now);
    ledger.add(CONTENT, crash(21, false), now);
    ledger.add(CONTENT, crash(22, true), now);
    assert!(is_refused(&ledger, now));
}

/// Guards against VMs of a site that all probe at the moment at which a refusal ends.
#[test]
fn vms_end_a_refusal_at_different_times() {
    let now = time::Instant::now();
    let mut ledger = Ledger::default();
    for server in 0..3 {
        ledger.add(CONTENT, crash(server, server == 2), now);
    }
    let until = |spread| match ledger.verdict(CONTENT, spread, now) {
        Verdict::Refused { until } => until,
        other => panic!("{other:?}"),
    };
    assert!(until(0.0) < until(0.5) && until(0.5) < until(1.0));
}

/// Guards against verdicts that depend on the way on which VMs learn of crashes.
#[test]
fn ledgers_that_merge_in_any_order_agree() {
    let now = time::Instant::now();
    for seed in 0..500_u64 {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut random = |bound: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            usize::try_from(state % bound).expect("a small number")
        };
        let mut ledgers = vec![Ledger::default(); 4];
        for _ in 0..random(8) {
            let (at, server, probe) = (random(4), random(4), random(3) == 0);
            ledgers[at].add(CONTENT, crash(server, probe), now);
        }
        // Rounds over all pairs, in an order that the seed decides.
        for _ in 0..3 {
            for pair in 0..16 {
                let pair = (pair * 5 + random(16)) % 16;
                let records: Vec<Record> = ledgers[pair / 4].since(0, now);
                for record in records {
                    ledgers[pair % 4].merge(record, now);
                }
            }
            for from in 0..4 {
                for to in 0..4 {
                    for record in ledgers[from].since(0, now) {
                        ledgers[to].merge(record, now);
                    }
                }
            }
        }
        let verdicts: Vec<_> = ledgers.iter().map(|ledger| verdict(ledger, now)).collect();
        assert!(
            verdicts.iter().all(|other| *other == verdicts[0]),
            "seed {seed}: {verdicts:?}"
        );
    }
}

/// Guards against memory, and messages, that grow with the contents that met a crash.
#[test]
fn a_ledger_is_bounded_and_keeps_what_it_refuses() {
    let now = time::Instant::now();
    let mut ledger = Ledger::default();
    for server in 0..4 {
        ledger.add(CONTENT, crash(server, server == 3), now);
    }
    for content in 2..5_000 {
        ledger.add(content, crash(0, false), now);
    }
    assert!(ledger.len() <= 256, "{} contents", ledger.len());
    assert!(is_refused(&ledger, now));
}

/// Guards against changes that a VM announces to all others although no verdict can change.
#[test]
fn a_crash_that_changes_nothing_moves_no_position() {
    let now = time::Instant::now();
    let mut ledger = Ledger::default();
    for server in 0..90 {
        ledger.add(CONTENT, crash(server, false), now);
    }
    assert_eq!(ledger.position(), 3);
    assert!(!ledger.add(CONTENT, crash(0, false), now));
    assert!(ledger.since(ledger.position(), now).is_empty());
}
