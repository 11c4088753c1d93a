//! Single replicas that receive hand-written messages.

use std::time;

use fireflyspool::{consensus, ids};

/// Replica 1 of the voters 1, 2 and 3 with an entry of term 2 that is not committed.
fn replica(now: time::Instant) -> consensus::Replica {
    let members = consensus::Members::of_voters([(1, 11), (2, 12), (3, 13)]);
    let contents = [
        consensus::Content::Members(members),
        consensus::Content::Command(b"old".to_vec()),
    ];
    let entry = |(index, content): (ids::LogIndex, _)| consensus::Entry {
        index,
        term: index,
        content,
    };
    let recovered = consensus::RecoveredState {
        vote: consensus::Vote {
            term: 3,
            candidate: None,
        },
        snapshot: None,
        entries: (1..).zip(contents).map(entry).collect(),
    };
    let config = consensus::Config::new(1, 11, vec![1, 2, 3]);
    consensus::Replica::new(config, recovered, now, 0).0
}

fn from_two(message: consensus::Message) -> consensus::Event {
    consensus::Event::Received(consensus::Envelope {
        from: 2,
        from_incarnation: 12,
        to: 1,
        to_incarnation: Some(11),
        message,
    })
}

fn accepted(matched: ids::LogIndex) -> consensus::Event {
    from_two(consensus::Message::Accepted {
        term: 4,
        matched,
        sent_us: 0,
    })
}

fn applied(actions: &[consensus::Action]) -> Vec<ids::LogIndex> {
    let index = |action: &consensus::Action| match action {
        consensus::Action::Apply { index, .. } => Some(*index),
        _ => None,
    };
    actions.iter().filter_map(index).collect()
}

/// Guards against committing an entry of an earlier term by counting replicas, after which it
/// can still be lost.
#[test]
fn earlier_terms_are_committed_only_with_the_current_one() {
    let start = time::Instant::now();
    let mut replica = replica(start);
    let now = start + time::Duration::from_secs(1);
    replica.handle(consensus::Event::Timer, now, 0);
    let (term, granted) = (4, true);
    let reply = consensus::Message::PreVoteReply { term, granted };
    replica.handle(from_two(reply), now, 0);
    let reply = consensus::Message::VoteReply { term, granted };
    replica.handle(from_two(reply), now, 0);
    assert!(replica.is_leader());
    let actions = replica.handle(accepted(2), now, 0);
    assert!(applied(&actions).is_empty());
    assert!(
        !replica.may_grant_leases(now),
        "no entry of the term is committed"
    );
    let actions = replica.handle(accepted(3), now, 0);
    assert_eq!(applied(&actions), [2]);
    assert!(replica.may_grant_leases(now));
}

fn vote_request() -> consensus::VoteRequest {
    consensus::VoteRequest {
        term: 4,
        last_index: 9,
        last_term: 3,
        founding: Vec::new(),
    }
}

fn grants(replica: &mut consensus::Replica, now: time::Instant) -> bool {
    let request = consensus::Message::Vote(vote_request());
    let actions = replica.handle(from_two(request), now, 0);
    let granted = consensus::Message::VoteReply {
        term: 4,
        granted: true,
    };
    let sent = |action: &consensus::Action| matches!(action, consensus::Action::Send(envelope) if envelope.message == granted);
    actions.iter().any(sent)
}

/// Guards against a voter that restarts and votes while a leader still relies on its lease.
#[test]
fn a_restarted_replica_refuses_votes_for_an_election_timeout() {
    let start = time::Instant::now();
    let mut replica = replica(start);
    assert!(!grants(
        &mut replica,
        start + time::Duration::from_millis(399)
    ));
    assert!(grants(
        &mut replica,
        start + time::Duration::from_millis(400)
    ));
}

/// Guards against a second vote in one term, before and after a restart.
#[test]
fn a_vote_is_synced_before_it_is_sent() {
    let start = time::Instant::now();
    let mut replica = replica(start);
    let request = consensus::Message::Vote(vote_request());
    let now = start + time::Duration::from_secs(1);
    let actions = replica.handle(from_two(request), now, 0);
    let vote = consensus::Vote {
        term: 4,
        candidate: Some(2),
    };
    let synced = consensus::Action::Persist(consensus::Record::Vote(vote));
    let synced = actions.iter().position(|action| *action == synced);
    let sent = actions
        .iter()
        .position(|action| matches!(action, consensus::Action::Send(_)));
    assert!(synced.is_some() && synced < sent);
}
