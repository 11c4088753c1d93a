//! Queries whose owners refuse, fail or no longer host the pinned version.

mod query_fixture;
mod query_run;

use std::{sync, time};

use fireflyspool::{dispatch, gather, outcome, plan};
use query_fixture::millis;

/// Guards against spreading a request that crashes servers over all replicas:
/// only one shard is retried, and nothing is sent once that attempt is reset too.
#[test]
fn resets_lead_to_one_retry_over_all_shards() {
    let now = time::Instant::now();
    let view = query_fixture::full_view(&[(4, 8)], 6, 3, now);
    let mut search = query_fixture::search("1-a");
    search.partial = true;
    let mut run = query_run::Run::start(search, view, now);
    for position in 0..8 {
        run.reply(position, query_run::failed(dispatch::FailureCause::Reset));
    }
    assert_eq!(run.sent.len(), 9, "only one shard is retried");
    assert_eq!(run.sent[8].1.excluded, ["failed-server"]);
    run.reply(8, query_run::failed(dispatch::FailureCause::Reset));
    assert_eq!(run.sent.len(), 9);
    assert_eq!(run.warned.len(), 9, "the other members are warned first");
    run.partial();
}

/// Guards against losing shards when servers crash for a reason other than the
/// request: once the probe is answered, the other shards are retried too.
#[test]
fn answered_retry_releases_the_other_shards() {
    let mut run = query_run::Run::of(&[(4, 8)]);
    for position in 0..8 {
        run.reply(position, query_run::failed(dispatch::FailureCause::Reset));
    }
    run.answer(8);
    assert_eq!(run.sent.len(), 16);
    for position in 9..16 {
        run.answer(position);
    }
    assert!(run.warned.is_empty(), "the content is harmless");
    run.complete();
}

/// Guards against answers that mix versions: when the pinned version is no longer
/// hosted, its answers are discarded and the query starts again on another one.
#[test]
fn query_restarts_on_another_version_when_its_version_is_gone() {
    let mut run = query_run::Run::of(&[(4, 6), (5, 8)]);
    assert_eq!(run.sent.len(), 8);
    for position in 0..7 {
        run.answer(position);
    }
    let mut position = 7;
    for _ in 0..3 {
        run.reply(
            position,
            query_fixture::not_run(dispatch::SkipCause::NotHosted),
        );
        position = run.sent.len() - 1;
    }
    assert_eq!(
        run.sent.len(),
        8 + 2 + 6,
        "two redirects, then the old version"
    );
    for position in 10..16 {
        run.answer(position);
    }
    let answer = run.complete();
    assert_eq!(answer.snapshot.version, 4);
    assert!(answer.hits.iter().all(|hit| hit.id.starts_with("4/")));
}

/// Guards against "not run" for a query that may have run, and against a partial
/// answer for one that did not.
#[test]
fn not_run_only_if_every_attempt_was_refused() {
    let now = time::Instant::now();
    let view = query_fixture::full_view(&[(4, 2)], 2, 1, now);
    for ran in [false, true] {
        let mut search = query_fixture::search("1-a");
        search.partial = true;
        let mut run = query_run::Run::start(search, view.clone(), now);
        let first = if ran {
            query_run::failed(dispatch::FailureCause::Timeout)
        } else {
            query_fixture::not_run(dispatch::SkipCause::Shedding)
        };
        run.reply(0, first);
        run.reply(1, query_fixture::not_run(dispatch::SkipCause::QueueFull));
        match run.outcome {
            Some(outcome::Outcome::NotRun(refusal)) if !ran => {
                assert_eq!(refusal.reason, outcome::RefusalReason::Overloaded);
                assert_eq!(refusal.retry_after, Some(millis(40)));
            }
            Some(outcome::Outcome::Partial(answer)) if ran => {
                assert!(!answer.sufficient && answer.coverage.covered.is_empty());
            }
            other => panic!("ran {ran}: {other:?}"),
        }
    }
}

/// Guards against losing shards together with their owner.
#[test]
fn shards_of_a_lost_owner_go_to_other_owners() {
    let mut run = query_run::Run::of(&[(4, 8)]);
    let lost = run.sent[0].0;
    let at_lost = run.sent.iter().filter(|(owner, _)| *owner == lost).count();
    run.event(gather::Event::OwnerLost { owner: lost });
    assert_eq!(run.sent.len(), 8 + at_lost);
    for position in 0..run.sent.len() {
        assert!(position < 8 || run.sent[position].0 != lost);
        run.answer(position);
    }
    run.complete();
}

/// Guards against counting coverage against the live servers instead of the shard map.
#[test]
fn shard_without_replica_counts_as_missing() {
    let now = time::Instant::now();
    let mut view = query_fixture::view(query_fixture::catalog(&[(4, 4)]), 3, now);
    for shard in 0..3 {
        query_fixture::add_server(&mut view, 1, &[(4, shard)]);
    }
    let refused = plan::plan(&query_fixture::search("1-a"), &view, now, 1);
    let refused = refused.expect_err("lacks a shard");
    assert_eq!(refused.reason(), outcome::RefusalReason::Coverage);
    let mut search = query_fixture::search("1-a");
    search.coverage = outcome::RequiredCoverage::AtLeast(75);
    let mut run = query_run::Run::start(search, view, now);
    for position in 0..3 {
        run.answer(position);
    }
    let answer = run.partial();
    assert!(answer.sufficient);
    assert_eq!(answer.coverage.missing, [3]);
}

/// Guards against giving up a shard whose servers changed their owner after the
/// query was planned.
#[test]
fn shard_follows_its_server_to_the_new_owner() {
    let now = time::Instant::now();
    let view = query_fixture::full_view(&[(4, 2)], 2, 1, now);
    let mut run = query_run::Run::start(query_fixture::search("1-a"), view, now);
    let (old, shard) = (run.sent[0].0, run.shard(0));
    let servers = sync::Arc::make_mut(&mut run.view.servers);
    for record in servers.values_mut() {
        record.owner = Some(3 - old);
    }
    run.reply(0, query_fixture::not_run(dispatch::SkipCause::NoServer));
    assert_eq!((run.sent[2].0, run.shard(2)), (3 - old, shard));
    run.answer(1);
    run.answer(2);
    run.complete();
}

/// Guards against a retry storm: when every attempt fails, retries stop at the
/// budget less the reserve for urgent requests.
#[test]
fn retries_stop_when_the_budget_is_spent() {
    let now = time::Instant::now();
    let view = query_fixture::full_view(&[(4, 56)], 15, 3, now);
    let mut search = query_fixture::search("1-a");
    search.partial = true;
    let mut run = query_run::Run::start(search, view, now);
    for position in 0..56 {
        run.reply(
            position,
            query_run::failed(dispatch::FailureCause::BadReply),
        );
    }
    // 16 at the start and 5 earned by 56 first attempts, less the reserve of 8.
    assert_eq!(run.sent.len(), 56 + 16 + 5 - 8);
}
