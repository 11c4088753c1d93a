//! What a dispatcher concludes from answers, breaks and crashes.

use std::{sync, time};

use fireflyspool::dispatch;

use crate::{fixture, probe};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn outcome_of(actions: &[dispatch::Action]) -> dispatch::SubOutcome {
    let replies = probe::replies(actions);
    assert_eq!(replies.len(), 1, "one result expected: {actions:?}");
    replies[0].1.clone()
}

fn skipped(actions: &[dispatch::Action], expected: dispatch::SkipCause) -> bool {
    matches!(outcome_of(actions), dispatch::SubOutcome::NotRun { cause, .. } if cause == expected)
}

/// Guards against sending a submission again after any byte of it left.
#[test]
fn a_submission_moves_only_if_nothing_left() {
    let records = vec![
        fixture::record("a", 0, 1, &[0]),
        fixture::record("b", 1, 1, &[0]),
        fixture::record("c", 1, 1, &[0]),
    ];
    let mut probe = probe::Probe::warm(records);
    let first = probe::sent(&probe.submit(fixture::submission(1, SECOND)));
    let second = probe::sent(&probe.break_off(&first, false));
    assert_ne!(first.server, second.server);
    let actions = probe.break_off(&second, true);
    assert!(probe::sends(&actions).is_empty());
    let failed = outcome_of(&actions);
    assert!(matches!(
        failed,
        dispatch::SubOutcome::Failed {
            cause: dispatch::FailureCause::Reset,
            ..
        }
    ));
    // A refusal before running is truthful, but the submission has left.
    let third = probe::sent(&probe.submit(fixture::submission(2, SECOND)));
    let actions = probe.refuse(&third, 503);
    assert!(probe::sends(&actions).is_empty());
    assert!(skipped(&actions, dispatch::SkipCause::Shedding));
}

/// Guards against "not run" while a replica is left that could run a refused search.
#[test]
fn a_refused_search_goes_to_another_replica() {
    let records = vec![
        fixture::record("a", 0, 1, &[0]),
        fixture::record("b", 1, 1, &[0]),
    ];
    let mut probe = probe::Probe::warm(records);
    let first = probe::sent(&probe.submit(fixture::search(1, 0, SECOND)));
    let second = probe::sent(&probe.refuse(&first, 503));
    assert_ne!(first.server, second.server);
    let actions = probe.refuse(&second, 503);
    assert!(skipped(&actions, dispatch::SkipCause::Shedding));
    // Both rest for 200 ms.
    let actions = probe.submit(fixture::search(2, 0, SECOND));
    assert!(skipped(&actions, dispatch::SkipCause::Shedding));
    probe.wait(200);
    probe::sent(&probe.submit(fixture::search(3, 0, SECOND)));
}

/// Guards against sending every search to a server that has denied its shard.
#[test]
fn a_denied_shard_is_left_alone_until_the_next_announcement() {
    let mut probe = probe::Probe::warm(vec![fixture::record("a", 0, 1, &[0, 1])]);
    let seen = probe::sent(&probe.submit(fixture::search(1, 0, SECOND)));
    let actions = probe.refuse(&seen, 409);
    assert!(skipped(&actions, dispatch::SkipCause::NotHosted));
    let actions = probe.submit(fixture::search(2, 0, SECOND));
    assert!(skipped(&actions, dispatch::SkipCause::NoServer));
    let seen = probe::sent(&probe.submit(fixture::search(3, 1, SECOND)));
    probe.answer(&seen, 1);
    let servers = sync::Arc::make_mut(&mut probe.view.servers);
    let record = servers.get_mut("a").expect("the server");
    record.announcement.sequence += 1;
    probe::sent(&probe.submit(fixture::search(4, 0, SECOND)));
}

/// Guards against a server that stays at full load although it became cold silently.
#[test]
fn a_server_slower_than_its_peers_returns_to_slow_start() {
    let records = (0..4).map(|n| fixture::record(&format!("s{n}"), n, 2, &[n]));
    let mut probe = probe::Probe::new(records.collect(), true);
    let mut sub = 0;
    let mut round = |probe: &mut probe::Probe, slow: u64| {
        for shard in 0..4 {
            sub += 1;
            let seen = probe::sent(&probe.submit(fixture::search(sub, shard, 10 * SECOND)));
            let ms = if shard == 0 { slow } else { 10 };
            probe.now += time::Duration::from_millis(ms);
            probe.answer(&seen, 1);
            probe.wait(60);
        }
    };
    for _ in 0..12 {
        round(&mut probe, 10);
    }
    assert_eq!(probe.dispatcher.gauges(probe.now).warming, 0);
    for _ in 0..6 {
        round(&mut probe, 80);
    }
    assert_eq!(probe.dispatcher.gauges(probe.now).warming, 1);
}

/// Guards against a content that is refused for long because its servers died by chance.
#[test]
fn a_death_by_chance_is_soon_forgotten() {
    let records = (0..4).map(|n| fixture::record(&format!("s{n}"), n, 1, &[0]));
    let mut probe = probe::Probe::warm(records.collect());
    let request = |sub| dispatch::SubRequest {
        fingerprint: 77,
        ..fixture::search(sub, 0, 100 * time::Duration::from_millis(1))
    };
    for sub in 1..=2 {
        // One death does not refuse the content.
        let seen = probe::sent(&probe.submit(request(sub)));
        let actions = probe.break_off(&seen, true);
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
        probe.wait(200);
    }
    assert!(skipped(
        &probe.submit(request(3)),
        dispatch::SkipCause::Suspect
    ));
    probe.wait(10_000);
    probe::sent(&probe.submit(request(4)));
}

/// Guards against blaming a content for a broken connection to a process that lives on.
#[test]
fn an_answer_of_the_same_process_takes_the_suspicion_back() {
    let records = (0..3).map(|n| fixture::record(&format!("s{n}"), n, 1, &[n]));
    let mut probe = probe::Probe::warm(records.collect());
    let request = |sub, shard| dispatch::SubRequest {
        fingerprint: 77,
        ..fixture::search(sub, shard, 100 * time::Duration::from_millis(1))
    };
    for round in 0..4 {
        let seen = probe::sent(&probe.submit(request(2 * round, 0)));
        probe.break_off(&seen, true);
        probe.wait(200);
        let other = fixture::search(2 * round + 1, 0, SECOND);
        let seen = probe::sent(&probe.submit(other));
        probe.answer(&seen, 1);
        assert_eq!(probe.dispatcher.gauges(probe.now).suspects, 0);
        probe.wait(200);
    }
}

/// Guards against clearing a content by an answer that left the server before it crashed.
#[test]
fn an_answer_from_before_the_break_clears_nothing() {
    let mut probe = probe::Probe::warm(vec![fixture::record("a", 0, 2, &[0])]);
    let first = probe::sent(&probe.submit(fixture::search(1, 0, SECOND)));
    let second = probe::sent(&probe.submit(fixture::search(2, 0, SECOND)));
    probe.wait(5);
    probe.break_off(&first, true);
    probe.answer(&second, 1);
    assert_eq!(probe.dispatcher.gauges(probe.now).suspects, 1);
}

/// Guards against ejecting the replica that other owners rely on, and against ejecting none.
#[test]
fn one_replica_of_a_shard_is_never_ejected() {
    let fails = |probe: &mut probe::Probe, sub: &mut u64| {
        for _ in 0..12 {
            *sub += 1;
            let request = fixture::search(*sub, 0, 20 * time::Duration::from_millis(1));
            for seen in probe::sends(&probe.submit(request)) {
                probe.break_off(&seen, true);
            }
            probe.wait(100);
        }
        probe.dispatcher.gauges(probe.now).ejected
    };
    let mut sub = 0;
    let foreign = |name: &str| {
        let mut record = fixture::record(name, 1, 1, &[0]);
        record.owner = Some(99);
        record
    };
    let own = |name: &str| fixture::record(name, 0, 1, &[0]);
    // The first by name stays; the other owner relies on it.
    let mut probe = probe::Probe::new(vec![own("a"), foreign("b")], true);
    assert_eq!(fails(&mut probe, &mut sub), 0);
    let mut probe = probe::Probe::new(vec![foreign("a"), own("b")], true);
    assert_eq!(fails(&mut probe, &mut sub), 1);
    let mut probe = probe::Probe::new(vec![own("a"), own("b")], true);
    assert_eq!(fails(&mut probe, &mut sub), 1);
    // Alone it stays, also if the other replica vanishes later.
    let mut probe = probe::Probe::new(vec![foreign("a"), own("b")], true);
    assert_eq!(fails(&mut probe, &mut sub), 1);
    sync::Arc::make_mut(&mut probe.view.servers).remove("a");
    probe.handle(dispatch::Event::ViewChanged);
    assert_eq!(probe.dispatcher.gauges(probe.now).ejected, 0);
}

/// Guards against hedge delays that rest on old samples or on a straggling minority.
#[test]
fn service_quantiles_follow_a_sliding_window() {
    let mut probe = probe::Probe::warm(vec![fixture::record("a", 0, 1, &[0])]);
    assert_eq!(probe.dispatcher.service_quantile(960, probe.now), None);
    for sub in 0..200 {
        let seen = probe::sent(&probe.submit(fixture::search(sub, 0, SECOND)));
        let ms = if sub % 20 == 0 { 60 } else { 10 };
        probe.now += time::Duration::from_millis(ms);
        probe.answer(&seen, 1);
    }
    let quantile = |probe: &probe::Probe, permille| {
        let value = probe.dispatcher.service_quantile(permille, probe.now);
        value.map(|value| value.as_millis())
    };
    assert_eq!(quantile(&probe, 500), Some(10));
    assert_eq!(quantile(&probe, 970), Some(60));
    probe.wait(20_000);
    assert_eq!(quantile(&probe, 500), None);
}
