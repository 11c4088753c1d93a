//! Groups of shards that one entry VM delegates to others: what is delegated, how answers are
//! merged, and what happens when the other VM fails.

#[allow(dead_code, reason = "each test binary uses a part of the module")]
mod group_site;

use std::{collections, time};

use fireflyspool::forward;
use group_site::{
    Query, TOP_K, answer, delegate, expected, listener, shard_number, shards_of, success,
};

/// Shards below 6 have servers in zone `a`, the others in `b` and `c`.
fn two_zones(shard: usize) -> &'static str {
    match shard < 6 {
        true => "a,b",
        false => "b,c",
    }
}

fn started(attempts: usize) -> Query {
    let mut query = Query::new(12, two_zones, &[delegate(2, "b")]);
    query.query(12, 0.75, attempts);
    assert_eq!(query.groups.len(), 1);
    query
}

/// Parts of shards that the zone lacks crossed zones one by one.
#[test]
fn shards_that_the_zone_lacks_are_gathered_by_one_entry_vm_that_has_them() {
    let mut query = started(2);
    assert_eq!(query.sent(), [0, 1, 2, 3, 4, 5]);
    assert_eq!(query.groups[0].delegate, listener(2));
    assert_eq!(shards_of(&query.groups[0].group), [6, 7, 8, 9, 10, 11]);
    query.answer_sends();
    query.answer_group(0, &[6, 7, 8, 9, 10, 11]);
    query.assert_complete(12);
}

/// Guards against groups that cost more than they save, and against entry VMs that are not
/// known to live.
#[test]
fn few_shards_and_shards_without_an_entry_vm_nearby_are_queried_directly() {
    let few = |shard| if shard < 9 { "a" } else { "b" };
    let mut query = Query::new(12, few, &[delegate(2, "b")]);
    query.query(12, 0.75, 2);
    assert!(query.groups.is_empty(), "three shards are no group");
    assert_eq!(query.sends.len(), 12);

    for delegates in [vec![], vec![delegate(4, "d")]] {
        let mut query = Query::new(12, two_zones, &delegates);
        query.query(12, 0.75, 2);
        assert!(query.groups.is_empty());
        assert_eq!(query.sends.len(), 12);
    }
    let mut query = Query::new(16, |_| "a,b,c", &[delegate(1, "a"), delegate(2, "b")]);
    query.query(16, 0.75, 2);
    assert!(query.groups.is_empty(), "its zone has all of a few shards");
}

/// One VM with a small share of a core takes most of the objective to query many shards.
#[test]
fn many_shards_are_divided_among_entry_vms_that_take_long_to_write() {
    let delegates = [
        delegate(1, "a"),
        delegate(2, "a"),
        delegate(3, "b"),
        delegate(4, "b"),
    ];
    let zones = |shard| if shard < 48 { "a,b" } else { "b,c" };
    let mut query = Query::new(80, zones, &delegates);
    query.query(80, 0.75, 2);
    assert_eq!(query.groups.len(), 1, "attempts are written fast");
    let slow = time::Duration::from_millis(48);
    for _ in 0..400 {
        query.fleet.record_written(48, slow);
    }
    query.query(80, 0.75, 2);
    let mut sizes: Vec<_> = query
        .groups
        .iter()
        .map(|group| group.group.services.len())
        .collect();
    sizes.sort_unstable();
    assert_eq!(sizes, [16, 16, 16, 16]);
    assert_eq!(query.sends.len(), 16, "its own share");
    let used: collections::BTreeSet<_> = query.groups.iter().map(|group| group.delegate).collect();
    assert_eq!(used.len(), 4, "each entry VM once");
}

/// Guards against a query that is lost with another entry VM, and against a retry budget that
/// is spent on attempts that never ran.
#[test]
fn a_group_that_was_not_taken_is_queried_directly_without_retries() {
    for end in [forward::GroupEnd::Refused, forward::GroupEnd::Unreachable] {
        let mut query = started(1);
        query.end_group(0, end);
        assert_eq!(query.sent(), (0..12).collect::<Vec<_>>());
        query.answer_sends();
        query.assert_complete(12);
        let exchange = query.exchange.as_ref().expect("it has started");
        assert_eq!((exchange.hedges(), exchange.retries()), (0, 0));
    }
}

/// Guards against a query that fails because an entry VM dies in its midst.
#[test]
fn a_group_that_breaks_is_retried_within_the_attempts_of_the_route() {
    for end in [forward::GroupEnd::Broken, forward::GroupEnd::TimedOut] {
        let mut query = started(2);
        query.end_group(0, end);
        assert_eq!(query.sends.len(), 12);
        query.answer_sends();
        query.assert_complete(12);

        let mut query = started(1);
        query.end_group(0, end);
        assert_eq!(query.sends.len(), 6, "the one attempt may have run");
        query.answer_sends();
        assert_eq!(
            query.outcome,
            Some(forward::Outcome::Failed),
            "not refused: it may have run"
        );
    }
}

/// A frozen entry VM must cost a hedge and not the query. Its answer that comes late has
/// records of shards that were answered meanwhile, which must not be in the answer twice.
#[test]
fn a_silent_entry_vm_is_hedged_and_its_late_answer_replaces_what_came_meanwhile() {
    let mut query = started(2);
    query.advance_to(20);
    assert_eq!(query.sends.len(), 6, "it is not late yet");
    query.advance_to(65);
    assert_eq!(query.sent().len(), 6 + 6 + 6, "hedges of all shards");
    let hedge = |query: &Query, shard: usize| {
        let sends = query.sends.iter();
        let found = sends
            .rev()
            .position(|send| shard_number(&send.service) == shard);
        query.sends.len() - 1 - found.expect("it was sent")
    };
    for shard in [6, 7, 8] {
        let send = hedge(&query, shard);
        query.end_attempt(send, success(shard));
    }
    for shard in 0..6 {
        let send = hedge(&query, shard);
        query.end_attempt(send, success(shard));
    }
    assert_eq!(query.outcome, None);
    query.answer_group(0, &[6, 7, 8, 9, 10, 11]);
    query.assert_complete(12);

    let now = query.now;
    query.query(12, 0.75, 2);
    assert!(
        query.groups.is_empty(),
        "the late VM is not asked again at once"
    );
    query.now = now + time::Duration::from_secs(5);
    query.query(12, 0.75, 2);
    assert_eq!(query.groups.len(), 1);
}

/// Guards against a hedge at the server that was slow for the other entry VM, and against
/// more attempts than the route allows.
#[test]
fn missing_shards_are_hedged_at_servers_that_were_not_tried() {
    let mut query = started(2);
    query.answer_group(0, &[6, 7, 8, 9]);
    let hedges: Vec<_> = query.sends[6..]
        .iter()
        .map(|send| send.server.as_str())
        .collect();
    assert_eq!(hedges, ["shard10-c", "shard11-c"]);
    query.answer_group(0, &[]);
    query.advance_to(60);
    assert_eq!(
        query.sends.len(),
        6 + 2 + 6,
        "shards 10 and 11 have had two attempts"
    );
    query.answer_sends();
    query.assert_complete(12);

    let mut query = started(1);
    query.answer_group(0, &[6, 7, 8, 9]);
    assert_eq!(query.sends.len(), 6, "the route allows one attempt");
    query.answer_sends();
    assert_eq!(query.outcome, None, "the other entry VM may still answer");
    query.answer_group(0, &[10, 11]);
    query.assert_complete(12);
}

/// Guards against a leaving or restarted entry VM that is still asked, and against one that is
/// avoided for what its former process did.
#[test]
fn only_listed_entry_vms_are_asked() {
    let mut query = started(2);
    query.end_group(0, forward::GroupEnd::Unreachable);
    query.query(12, 0.75, 2);
    assert!(query.groups.is_empty(), "it was not reached a moment ago");
    query.view.generation += 1;
    query.view.delegates[0].incarnation += 1;
    query.fleet.update(&query.view, query.now);
    query.query(12, 0.75, 2);
    assert_eq!(query.groups.len(), 1, "it has restarted");
    query.view.generation += 1;
    query.view.delegates.clear();
    query.fleet.update(&query.view, query.now);
    query.query(12, 0.75, 2);
    assert!(query.groups.is_empty(), "it is leaving");
}

/// Guards against a query that waits for the slowest of many shards at the other entry VM
/// without anyone hedging it, and against shards that are reported twice.
#[test]
fn the_gathering_vm_answers_when_a_hedge_is_due_and_again_at_the_cutoff() {
    let query = started(2);
    let group = query.groups[0].group.clone();
    let mut other = Query::new(12, two_zones, &[]);
    other.gather(&group);
    assert_eq!(other.sent(), [6, 7, 8, 9, 10, 11]);
    for send in 0..4 {
        let shard = shard_number(&other.sends[send].service);
        other.end_attempt(send, success(shard));
    }
    assert!(other.reports.is_empty(), "it waits for the others");
    other.advance_to(35);
    assert_eq!(other.sends.len(), 6, "it sends no hedge");
    let report = other.reports.pop().expect("an answer");
    assert_eq!(report.answered.len(), 4);
    let body = report
        .answered
        .iter()
        .map(|(position, _)| shards_of(&group)[*position]);
    assert_eq!(report.body.as_ref(), expected(body));
    assert!(
        report
            .missing
            .iter()
            .all(|shard| shard.running && shard.tried.len() == 1)
    );

    let shard = shard_number(&other.sends[4].service);
    other.end_attempt(4, success(shard));
    assert!(
        other.reports.is_empty(),
        "the next answer is due at the cutoff"
    );
    other.advance_to(85);
    let report = other.reports.pop().expect("an answer at the cutoff");
    assert_eq!(report.answered.len(), 1, "only what is new");
    assert_eq!(report.body.as_ref(), expected([shard]));
    other.end_attempt(5, forward::AttemptEnd::Broken);
    let report = other.reports.pop().expect("the last answer");
    assert!(report.answered.is_empty());
    assert!(!report.missing[0].running && report.missing[0].ran);
    assert!(other.exchange.expect("it has started").is_finished());
}

/// A shard was parked and told as ended, then sent after all: its records came twice.
#[test]
fn the_gathering_vm_sends_no_shard_again_that_it_has_told_as_ended() {
    let query = started(2);
    let group = query.groups[0].group.clone();
    let mut other = Query::new(12, two_zones, &[]);
    other.gather(&group);
    other.advance_to(15);
    other.end_attempt(0, forward::AttemptEnd::Rejected);
    other.advance_to(20);
    assert_eq!(other.sends.len(), 7, "the rejected one is sent again");
    other.end_attempt(1, forward::AttemptEnd::Crashed);
    other.end_attempt(2, forward::AttemptEnd::Rejected);
    other.advance_to(35);
    let report = other.reports.pop().expect("an answer");
    let ended: Vec<_> = report
        .missing
        .iter()
        .filter(|shard| !shard.running)
        .map(|shard| shard.position)
        .collect();
    assert_eq!(ended, [1, 2], "the crashed and the rejected one");
    for send in 3..7 {
        other.end_attempt(send, success(shard_number(&other.sends[send].service)));
    }
    other.advance_to(90);
    assert_eq!(other.sends.len(), 7, "nothing more is sent");
    let answered = other.reports.iter().flat_map(|report| &report.answered);
    let positions: Vec<_> = answered.map(|(position, _)| *position).collect();
    assert!(
        positions.iter().all(|position| !ended.contains(position)),
        "{positions:?}"
    );
}

/// Guards against records of a shard that the answer does not name, or has twice: an older
/// release answers a shard that it has told as ended.
#[test]
fn a_shard_that_is_answered_after_its_end_was_told_is_merged_once() {
    let mut query = started(2);
    let mut first = answer(&query.groups[0].group, &[6, 7, 8, 9]);
    for shard in &mut first.missing {
        shard.running = false;
    }
    query.deliver(0, first);
    assert_eq!(query.sends.len(), 8, "it is retried here");
    query.answer_group(0, &[10]);
    query.answer_sends();
    query.assert_complete(12);
}

/// Guards against an answer that comes twice, and against records of no shard.
#[test]
fn an_answer_that_cannot_be_accounted_for_is_refused() {
    let repeated = |query: &Query| answer(&query.groups[0].group, &[6, 7]);
    let foreign = |query: &Query| forward::GroupAnswer {
        answered: Vec::new(),
        ..answer(&query.groups[0].group, &[8])
    };
    let unsorted = |query: &Query| {
        let sorted = answer(&query.groups[0].group, &[8]);
        let mut body = sorted.body.to_vec();
        body.rotate_left(forward::RECORD_BYTES);
        forward::GroupAnswer {
            body: body.into(),
            ..sorted
        }
    };
    let out_of_range = |query: &Query| {
        let mut answer = answer(&query.groups[0].group, &[8]);
        answer.answered[0].0 = 12;
        answer
    };
    let long = |query: &Query| {
        let mut answer = answer(&query.groups[0].group, &[8]);
        answer.body = vec![0; forward::RECORD_BYTES * (TOP_K + 1)].into();
        answer
    };
    let cases: [&dyn Fn(&Query) -> forward::GroupAnswer; 5] =
        [&repeated, &foreign, &unsorted, &out_of_range, &long];
    for (number, case) in cases.into_iter().enumerate() {
        let mut query = started(2);
        query.answer_group(0, &[6, 7]);
        let refused = case(&query);
        query.deliver(0, refused);
        let exchange = query.exchange.as_ref().expect("it has started");
        assert_eq!(exchange.refused_answers(), 1, "case {number}");
        query.answer_group(0, &[8, 9, 10, 11]);
        assert_eq!(query.outcome, None, "case {number}: the group has ended");
        query.answer_sends();
        query.assert_complete(12);
    }
}

/// Deterministic numbers below a bound.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        usize::try_from(self.0 >> 33).expect("31 bits") % bound
    }
}

/// Random ends of attempts and groups in random order, against an oracle that knows the records
/// of every shard: each answer has the greatest records of exactly the shards that it names,
/// each of them once, and enough of them.
#[test]
fn answers_over_two_levels_are_what_an_oracle_merges() {
    for seed in 0..600 {
        let mut random = Random(seed);
        let zones = |shard: usize| ["a,b", "b,c", "c,d", "a,d"][shard * 7 % 4];
        let delegates = [
            delegate(2, "b"),
            delegate(3, "c"),
            delegate(4, "d"),
            delegate(5, "c"),
        ];
        let mut query = Query::new(24, zones, &delegates);
        query.query(24, 0.5, 1 + random.below(3));
        let mut open: Vec<Vec<usize>> = Vec::new();
        let (mut ended, mut sent) = (0, 0);
        let mut steps = 0;
        while query.outcome.is_none() && steps < 400 {
            steps += 1;
            open.extend(
                query.groups[open.len()..]
                    .iter()
                    .map(|group| shards_of(&group.group)),
            );
            match random.below(6) {
                0 => {
                    let step = u64::try_from(random.below(12)).expect("small");
                    let passed = query.now.duration_since(query.start).as_millis();
                    query.advance_to(u64::try_from(passed).expect("small") + step);
                }
                1 if ended < open.len() => {
                    let ends = [
                        forward::GroupEnd::Refused,
                        forward::GroupEnd::Broken,
                        forward::GroupEnd::Unreachable,
                        forward::GroupEnd::Answered,
                    ];
                    let end = ends[random.below(4)];
                    query.end_group(ended, end);
                    open[ended].clear();
                    ended += 1;
                }
                2 | 3 if !open.is_empty() => {
                    let group = random.below(open.len());
                    let take = random.below(open[group].len() + 1);
                    let shards: Vec<_> = open[group].drain(..take).collect();
                    if group >= ended {
                        query.answer_group(group, &shards);
                    }
                }
                _ if sent < query.sends.len() => {
                    let shard = shard_number(&query.sends[sent].service);
                    let end = match random.below(5) {
                        0 => forward::AttemptEnd::Broken,
                        1 => forward::AttemptEnd::Rejected,
                        _ => success(shard),
                    };
                    query.end_attempt(sent, end);
                    sent += 1;
                }
                _ => {}
            }
        }
        if let Some(forward::Outcome::Gathered {
            signatures,
            missing,
            body,
        }) = &query.outcome
        {
            let shards: collections::BTreeSet<_> =
                signatures.iter().map(|name| shard_number(name)).collect();
            assert_eq!(shards.len(), signatures.len(), "seed {seed}: a shard twice");
            assert_eq!(shards.len() + missing, 24, "seed {seed}");
            assert!(shards.len() >= 12, "seed {seed}: too few shards");
            assert_eq!(
                body.as_ref(),
                expected(shards),
                "seed {seed}: other records"
            );
        }
    }
}
