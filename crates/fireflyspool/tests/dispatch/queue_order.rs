//! Queue order, guaranteed shares, queue limit and use of permits.

use std::time;

use fireflyspool::{dispatch, outcome};

use crate::{fixture, harness};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn search(sub: u64, kind: outcome::Kind, hedge: bool, ms: u64) -> dispatch::SubRequest {
    dispatch::SubRequest {
        kind,
        hedge,
        ..fixture::search(sub, 0, time::Duration::from_millis(ms))
    }
}

/// Guards against a queue in arrival order, and against kinds that overtake hedges.
#[test]
fn queue_orders_by_hedge_then_kind_then_deadline() {
    let mut harness = harness::Harness::warm(vec![fixture::record("a", 0, 1, &[0])]);
    let mut last = harness::only_send(&harness.submit(fixture::search(1, 0, SECOND)));
    let waiting = [
        search(2, outcome::Kind::Deferrable, false, 400),
        search(3, outcome::Kind::Interactive, false, 900),
        search(4, outcome::Kind::Interactive, false, 500),
        search(5, outcome::Kind::Urgent, false, 950),
        search(6, outcome::Kind::Interactive, true, 800),
        search(7, outcome::Kind::Urgent, true, 850),
    ];
    for request in waiting {
        assert!(harness::sends(&harness.submit(request)).is_empty());
    }
    let mut order = Vec::new();
    for _ in 0..6 {
        last = harness::only_send(&harness.answer(&last, 1));
        order.push(harness::request_of(&last).to_owned());
    }
    let expected = [7, 6, 5, 4, 3, 2].map(|sub| format!("request-{sub}"));
    assert_eq!(order, expected);
}

/// Guards against urgent sub-requests that starve all other kinds.
#[test]
fn low_kinds_keep_their_share_under_urgent_load() {
    let mut harness = harness::Harness::warm(vec![fixture::record("a", 0, 1, &[0])]);
    let mut sub = 0;
    let mut submit = |harness: &mut harness::Harness, kind| {
        sub += 1;
        harness.submit(search(sub, kind, false, 30_000))
    };
    let mut last = harness::only_send(&submit(&mut harness, outcome::Kind::Urgent));
    let mut permits = [0; 3];
    for _ in 0..20 {
        for kind in outcome::Kind::ALL {
            submit(&mut harness, kind);
        }
    }
    for _ in 0..200 {
        // Sub-requests of every kind always wait: 20 of each at the start, later urgent ones.
        let actions = harness.answer(&last, 1);
        last = harness::only_send(&actions);
        let sub = harness::request_of(&last).trim_start_matches("request-");
        let sub = sub.parse::<usize>().expect("a number");
        let kind = if sub == 1 || sub > 61 {
            outcome::Kind::Urgent
        } else {
            outcome::Kind::ALL[(sub - 2) % 3]
        };
        permits[kind.index()] += 1;
        submit(&mut harness, outcome::Kind::Urgent);
    }
    // The default share is 100 permille per kind below urgent.
    assert!(permits[1] >= 19 && permits[2] >= 19, "{permits:?}");
    assert!(permits[0] >= 150, "{permits:?}");
}

/// Guards against an unbounded queue, and against deferrable sub-requests that fill it.
#[test]
fn queue_is_bounded_and_keeps_room_for_urgent_work() {
    let mut harness = harness::Harness::warm(vec![fixture::record("a", 0, 1, &[0])]);
    let limit = dispatch::Config::default().queue_limit;
    let refused = |actions: &[dispatch::Action]| {
        let full = dispatch::SkipCause::QueueFull;
        let replies = harness::replies(actions);
        replies
            .iter()
            .any(|(_, o)| matches!(o, dispatch::SubOutcome::NotRun { cause, .. } if *cause == full))
    };
    let mut accepted = 0;
    for sub in 0..2_000 {
        let kind = outcome::Kind::Deferrable;
        let actions = harness.submit(search(sub, kind, false, 60_000));
        accepted += usize::from(!refused(&actions));
    }
    assert!(
        accepted < limit * 4 / 5,
        "{accepted} deferrable ones fill the queue"
    );
    for sub in 2_000..4_000 {
        let actions = harness.submit(search(sub, outcome::Kind::Urgent, false, 60_000));
        accepted += usize::from(!refused(&actions));
    }
    // One of the accepted ones runs.
    assert_eq!(accepted, limit + 1);
}

/// Guards against a permit that stays free while a sub-request waits for it.
#[test]
fn free_permits_of_all_replicas_are_used() {
    let records = vec![
        fixture::record("a", 0, 2, &[0]),
        fixture::record("b", 1, 2, &[0, 1]),
    ];
    let mut harness = harness::Harness::warm(records);
    let mut sends = Vec::new();
    for sub in 1..=8 {
        sends.extend(harness::sends(
            &harness.submit(fixture::search(sub, 0, SECOND)),
        ));
    }
    assert_eq!(sends.len(), 4, "two slots on each of two replicas");
    for first in &sends {
        harness::only_send(&harness.answer(first, 1));
    }
    assert_eq!(harness.dispatcher.gauges(harness.now).waiting, 0);
}
