//! Tests of the end of the replicated log, from which control VMs read the newest configuration.

use std::time;

use fireflyspool::{configuration, consensus, state};

fn configure(version: u64) -> Vec<u8> {
    let document = configuration::Document {
        version,
        text: r#"{"Version":1}"#.into(),
    };
    state::Entry::Idempotent(state::IdempotentCommand::Configure(document)).encode()
}

/// Guards against a configuration that is not recognized in the log, so that a hub proves too much.
#[test]
fn entries_tell_the_version_of_their_configuration() {
    let version = |payload: &[u8]| state::Entry::configured_version(payload).ok();
    assert_eq!(version(&configure(7)), Some(Some(7)));
    let read = state::Entry::Idempotent(state::IdempotentCommand::Read);
    assert_eq!(version(&read.encode()), Some(None));
    assert_eq!(
        version(&state::Entry::Claims(Vec::new()).encode()),
        Some(None)
    );
    let cut = &configure(7)[..30];
    assert!(state::Entry::configured_version(cut).is_err());
}

/// Guards against a log whose end is taken for empty although it begins after the applied entries.
#[test]
fn the_end_of_the_log_is_unknown_if_it_no_longer_reaches_back() {
    let config = consensus::Config::new(1, 77, vec![1]);
    let recovered = consensus::RecoveredState::default();
    let start = time::Instant::now();
    let (mut replica, _) = consensus::Replica::new(config, recovered, start, 0);
    let now = start + time::Duration::from_secs(1);
    replica.handle(consensus::Event::Timer, now, 0);
    assert!(replica.is_voter());
    for version in 1..=600 {
        let payload = configure(version);
        let event = consensus::Event::Propose {
            ticket: version,
            payload,
        };
        replica.handle(event, now, 0);
    }
    let last = replica.status().last_index;
    let versions = replica.entries_after(last - 2).expect("it reaches back");
    assert_eq!(versions.len(), 2);
    assert_eq!(replica.entries_after(last), Some(&[][..]));
    let snapshot = consensus::Event::Compact {
        index: last,
        snapshot: Vec::new(),
    };
    replica.handle(snapshot, now, 0);
    assert_eq!(replica.entries_after(0), None);
    assert_eq!(replica.entries_after(last), Some(&[][..]));
}

/// Guards against equal checksums of lists with other members, incarnations or votes.
#[test]
fn member_lists_differ_in_their_checksums() {
    let list = |voters: &[(u64, u64)]| consensus::Members::of_voters(voters.iter().copied());
    let base = list(&[(1, 5), (2, 5)]);
    let change = consensus::MembershipChange::AddLearner {
        node: 3,
        incarnation: 5,
    };
    let learner = base.changed(change).expect("it is new");
    let lists = [
        base.clone(),
        list(&[(1, 5)]),
        list(&[(1, 5), (2, 6)]),
        list(&[(1, 5), (2, 5), (3, 5)]),
        learner,
    ];
    let mut sums: Vec<_> = lists.iter().map(consensus::Members::checksum).collect();
    assert_eq!(sums[0], list(&[(2, 5), (1, 5)]).checksum());
    sums.sort_unstable();
    sums.dedup();
    assert_eq!(sums.len(), lists.len());
}
