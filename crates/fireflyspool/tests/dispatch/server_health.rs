//! Reactions of a dispatcher to refusals, slow answers, lost connections and crashes.

use std::{sync, time};

use fireflyspool::dispatch;

use crate::{fixture, harness};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn outcome_of(actions: &[dispatch::Action]) -> dispatch::SubOutcome {
    let replies = harness::replies(actions);
    assert_eq!(replies.len(), 1, "one result expected: {actions:?}");
    replies[0].1.clone()
}

fn skipped(actions: &[dispatch::Action], expected: dispatch::SkipCause) -> bool {
    matches!(outcome_of(actions), dispatch::SubOutcome::NotRun { cause, .. } if cause == expected)
}

/// Guards against sending a submission again after any byte of it was sent.
#[test]
fn submission_is_not_resent_once_a_byte_was_sent() {
    let records = vec![
        fixture::record("a", 0, 1, &[0]),
        fixture::record("b", 1, 1, &[0]),
        fixture::record("c", 1, 1, &[0]),
    ];
    let mut harness = harness::Harness::warm(records);
    let first = harness::only_send(&harness.submit(fixture::submission(1, SECOND)));
    let second = harness::only_send(&harness.lose_connection(&first, false));
    assert_ne!(first.server, second.server);
    let actions = harness.lose_connection(&second, true);
    assert!(harness::sends(&actions).is_empty());
    let failed = outcome_of(&actions);
    assert!(matches!(
        failed,
        dispatch::SubOutcome::Failed {
            cause: dispatch::FailureCause::Reset,
            ..
        }
    ));
    // The server refused it before running, but its bytes were sent.
    let third = harness::only_send(&harness.submit(fixture::submission(2, SECOND)));
    let actions = harness.refuse(&third, 503);
    assert!(harness::sends(&actions).is_empty());
    assert!(skipped(&actions, dispatch::SkipCause::Shedding));
}

/// Guards against `NotRun` for a refused search while another replica could run it.
#[test]
fn refused_search_is_sent_to_another_replica() {
    let records = vec![
        fixture::record("a", 0, 1, &[0]),
        fixture::record("b", 1, 1, &[0]),
    ];
    let mut harness = harness::Harness::warm(records);
    let first = harness::only_send(&harness.submit(fixture::search(1, 0, SECOND)));
    let second = harness::only_send(&harness.refuse(&first, 503));
    assert_ne!(first.server, second.server);
    let actions = harness.refuse(&second, 503);
    assert!(skipped(&actions, dispatch::SkipCause::Shedding));
    // Both servers asked for a backoff of 200 ms.
    let actions = harness.submit(fixture::search(2, 0, SECOND));
    assert!(skipped(&actions, dispatch::SkipCause::Shedding));
    harness.wait(200);
    harness::only_send(&harness.submit(fixture::search(3, 0, SECOND)));
}

/// Guards against sending searches to a server that refused their shard as not hosted.
#[test]
fn shard_not_hosted_is_skipped_until_the_next_announcement() {
    let mut harness = harness::Harness::warm(vec![fixture::record("a", 0, 1, &[0, 1])]);
    let send = harness::only_send(&harness.submit(fixture::search(1, 0, SECOND)));
    let actions = harness.refuse(&send, 409);
    assert!(skipped(&actions, dispatch::SkipCause::NotHosted));
    let actions = harness.submit(fixture::search(2, 0, SECOND));
    assert!(skipped(&actions, dispatch::SkipCause::NoServer));
    let send = harness::only_send(&harness.submit(fixture::search(3, 1, SECOND)));
    harness.answer(&send, 1);
    let servers = sync::Arc::make_mut(&mut harness.view.servers);
    let record = servers.get_mut("a").expect("the server");
    record.announcement.sequence += 1;
    harness::only_send(&harness.submit(fixture::search(4, 0, SECOND)));
}

/// Guards against full load on a server that became cold without a new incarnation.
#[test]
fn server_slower_than_its_peers_returns_to_slow_start() {
    let records = (0..4).map(|n| fixture::record(&format!("s{n}"), n, 2, &[n]));
    let mut harness = harness::Harness::new(records.collect(), true);
    let mut sub = 0;
    let mut round = |harness: &mut harness::Harness, slow: u64| {
        for shard in 0..4 {
            sub += 1;
            let send =
                harness::only_send(&harness.submit(fixture::search(sub, shard, 10 * SECOND)));
            let ms = if shard == 0 { slow } else { 10 };
            harness.now += time::Duration::from_millis(ms);
            harness.answer(&send, 1);
            harness.wait(60);
        }
    };
    for _ in 0..12 {
        round(&mut harness, 10);
    }
    assert_eq!(harness.dispatcher.gauges(harness.now).warming, 0);
    for _ in 0..6 {
        round(&mut harness, 80);
    }
    assert_eq!(harness.dispatcher.gauges(harness.now).warming, 1);
}

/// Guards against refusing a request for long because servers crashed by chance while they ran it.
#[test]
fn suspicion_after_unrelated_crashes_expires() {
    let records = (0..4).map(|n| fixture::record(&format!("s{n}"), n, 1, &[0]));
    let mut harness = harness::Harness::warm(records.collect());
    let request = |sub| dispatch::SubRequest {
        fingerprint: 77,
        ..fixture::search(sub, 0, 100 * time::Duration::from_millis(1))
    };
    for sub in 1..=2 {
        // One crash does not refuse the request.
        let send = harness::only_send(&harness.submit(request(sub)));
        let actions = harness.lose_connection(&send, true);
        let reported = actions.iter().any(|a| {
            matches!(
                a,
                dispatch::Action::ReportCrash {
                    fingerprint: 77,
                    ..
                }
            )
        });
        assert!(reported, "{actions:?}");
        harness.wait(200);
    }
    assert!(skipped(
        &harness.submit(request(3)),
        dispatch::SkipCause::Suspect
    ));
    harness.wait(10_000);
    harness::only_send(&harness.submit(request(4)));
}

/// Guards against suspecting a request after the connection broke but the process lived on.
#[test]
fn answer_of_the_same_process_clears_suspicion() {
    let records = (0..3).map(|n| fixture::record(&format!("s{n}"), n, 1, &[n]));
    let mut harness = harness::Harness::warm(records.collect());
    let request = |sub, shard| dispatch::SubRequest {
        fingerprint: 77,
        ..fixture::search(sub, shard, 100 * time::Duration::from_millis(1))
    };
    for round in 0..4 {
        let send = harness::only_send(&harness.submit(request(2 * round, 0)));
        harness.lose_connection(&send, true);
        harness.wait(200);
        let other = fixture::search(2 * round + 1, 0, SECOND);
        let send = harness::only_send(&harness.submit(other));
        harness.answer(&send, 1);
        assert_eq!(harness.dispatcher.gauges(harness.now).suspects, 0);
        harness.wait(200);
    }
}

/// Guards against clearing suspicion by an answer to an attempt sent before the crash.
#[test]
fn answer_to_an_earlier_attempt_keeps_suspicion() {
    let mut harness = harness::Harness::warm(vec![fixture::record("a", 0, 2, &[0])]);
    let first = harness::only_send(&harness.submit(fixture::search(1, 0, SECOND)));
    let second = harness::only_send(&harness.submit(fixture::search(2, 0, SECOND)));
    harness.wait(5);
    harness.lose_connection(&first, true);
    harness.answer(&second, 1);
    assert_eq!(harness.dispatcher.gauges(harness.now).suspects, 1);
}

/// Guards against ejecting the replica that other owners rely on, and against never ejecting.
#[test]
fn last_replica_of_a_shard_is_never_ejected() {
    let ejected_after_failures = |harness: &mut harness::Harness, sub: &mut u64| {
        for _ in 0..12 {
            *sub += 1;
            let request = fixture::search(*sub, 0, 20 * time::Duration::from_millis(1));
            for send in harness::sends(&harness.submit(request)) {
                harness.lose_connection(&send, true);
            }
            harness.wait(100);
        }
        harness.dispatcher.gauges(harness.now).ejected
    };
    let mut sub = 0;
    let foreign = |name: &str| {
        let mut record = fixture::record(name, 1, 1, &[0]);
        record.owner = Some(99);
        record
    };
    let own = |name: &str| fixture::record(name, 0, 1, &[0]);
    // The first replica by name is kept, because the other owner relies on it.
    let mut harness = harness::Harness::new(vec![own("a"), foreign("b")], true);
    assert_eq!(ejected_after_failures(&mut harness, &mut sub), 0);
    let mut harness = harness::Harness::new(vec![foreign("a"), own("b")], true);
    assert_eq!(ejected_after_failures(&mut harness, &mut sub), 1);
    let mut harness = harness::Harness::new(vec![own("a"), own("b")], true);
    assert_eq!(ejected_after_failures(&mut harness, &mut sub), 1);
    // The ejection of "b" ends when it becomes the only replica.
    let mut harness = harness::Harness::new(vec![foreign("a"), own("b")], true);
    assert_eq!(ejected_after_failures(&mut harness, &mut sub), 1);
    sync::Arc::make_mut(&mut harness.view.servers).remove("a");
    harness.handle(dispatch::Event::ViewChanged);
    assert_eq!(harness.dispatcher.gauges(harness.now).ejected, 0);
}

/// Guards against hedge delays derived from old samples or from a minority of stragglers.
#[test]
fn service_quantiles_use_a_sliding_window() {
    let mut harness = harness::Harness::warm(vec![fixture::record("a", 0, 1, &[0])]);
    assert_eq!(harness.dispatcher.service_quantile(960, harness.now), None);
    for sub in 0..200 {
        let send = harness::only_send(&harness.submit(fixture::search(sub, 0, SECOND)));
        let ms = if sub % 20 == 0 { 60 } else { 10 };
        harness.now += time::Duration::from_millis(ms);
        harness.answer(&send, 1);
    }
    let quantile = |harness: &harness::Harness, permille| {
        let value = harness.dispatcher.service_quantile(permille, harness.now);
        value.map(|value| value.as_millis())
    };
    assert_eq!(quantile(&harness, 500), Some(10));
    assert_eq!(quantile(&harness, 970), Some(60));
    harness.wait(20_000);
    assert_eq!(quantile(&harness, 500), None);
}
