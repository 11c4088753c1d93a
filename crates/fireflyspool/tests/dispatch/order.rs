//! Queue order and shares.

use std::time;

use fireflyspool::{dispatch, outcome};

use crate::{fixture, probe};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn with(sub: u64, kind: outcome::Kind, hedge: bool, ms: u64) -> dispatch::SubRequest {
    dispatch::SubRequest {
        kind,
        hedge,
        ..fixture::search(sub, 0, time::Duration::from_millis(ms))
    }
}

/// Guards against a queue in arrival order, or one that lets a kind overtake hedges.
#[test]
fn hedges_then_kind_then_deadline() {
    let mut probe = probe::Probe::warm(vec![fixture::record("a", 0, 1, &[0])]);
    let mut last = probe::sent(&probe.submit(fixture::search(1, 0, SECOND)));
    let waiting = [
        with(2, outcome::Kind::Deferrable, false, 400),
        with(3, outcome::Kind::Interactive, false, 900),
        with(4, outcome::Kind::Interactive, false, 500),
        with(5, outcome::Kind::Urgent, false, 950),
        with(6, outcome::Kind::Interactive, true, 800),
        with(7, outcome::Kind::Urgent, true, 850),
    ];
    for request in waiting {
        assert!(probe::sends(&probe.submit(request)).is_empty());
    }
    let mut order = Vec::new();
    for _ in 0..6 {
        last = probe::sent(&probe.answer(&last, 1));
        order.push(probe::request_of(&last).to_owned());
    }
    let expected = [7, 6, 5, 4, 3, 2].map(|sub| format!("request-{sub}"));
    assert_eq!(order, expected);
}

/// Guards against urgent work that starves all other kinds.
#[test]
fn low_kinds_keep_their_share_under_urgent_load() {
    let mut probe = probe::Probe::warm(vec![fixture::record("a", 0, 1, &[0])]);
    let mut sub = 0;
    let mut submit = |probe: &mut probe::Probe, kind| {
        sub += 1;
        probe.submit(with(sub, kind, false, 30_000))
    };
    let mut last = probe::sent(&submit(&mut probe, outcome::Kind::Urgent));
    let mut given = [0; 3];
    for _ in 0..20 {
        for kind in outcome::Kind::ALL {
            submit(&mut probe, kind);
        }
    }
    for _ in 0..200 {
        // Every kind always waits: twenty at the start, and one more for each that is sent.
        let actions = probe.answer(&last, 1);
        last = probe::sent(&actions);
        let sub = probe::request_of(&last).trim_start_matches("request-");
        let sub = sub.parse::<usize>().expect("a number");
        let kind = if sub == 1 || sub > 61 {
            outcome::Kind::Urgent
        } else {
            outcome::Kind::ALL[(sub - 2) % 3]
        };
        given[kind.index()] += 1;
        submit(&mut probe, outcome::Kind::Urgent);
    }
    // The default share is 100 permille each.
    assert!(given[1] >= 19 && given[2] >= 19, "{given:?}");
    assert!(given[0] >= 150, "{given:?}");
}

/// Guards against a queue without a limit, and against low kinds that fill it up.
#[test]
fn queue_is_bounded_and_keeps_room_for_urgent_work() {
    let mut probe = probe::Probe::warm(vec![fixture::record("a", 0, 1, &[0])]);
    let limit = dispatch::Config::default().queue_limit;
    let refused = |actions: &[dispatch::Action]| {
        let full = dispatch::SkipCause::QueueFull;
        let replies = probe::replies(actions);
        replies
            .iter()
            .any(|(_, o)| matches!(o, dispatch::SubOutcome::NotRun { cause, .. } if *cause == full))
    };
    let mut accepted = 0;
    for sub in 0..2_000 {
        let kind = outcome::Kind::Deferrable;
        let actions = probe.submit(with(sub, kind, false, 60_000));
        accepted += usize::from(!refused(&actions));
    }
    assert!(
        accepted < limit * 4 / 5,
        "{accepted} deferrable ones fill the queue"
    );
    for sub in 2_000..4_000 {
        let actions = probe.submit(with(sub, outcome::Kind::Urgent, false, 60_000));
        accepted += usize::from(!refused(&actions));
    }
    // One of them runs.
    assert_eq!(accepted, limit + 1);
}

/// Guards against a permit that stays free while something waits for it.
#[test]
fn a_free_permit_of_any_replica_is_used() {
    let records = vec![
        fixture::record("a", 0, 2, &[0]),
        fixture::record("b", 1, 2, &[0, 1]),
    ];
    let mut probe = probe::Probe::warm(records);
    let mut seen = Vec::new();
    for sub in 1..=8 {
        seen.extend(probe::sends(&probe.submit(fixture::search(sub, 0, SECOND))));
    }
    assert_eq!(seen.len(), 4, "two slots on each of two replicas");
    for first in &seen {
        probe::sent(&probe.answer(first, 1));
    }
    assert_eq!(probe.dispatcher.gauges(probe.now).waiting, 0);
}
