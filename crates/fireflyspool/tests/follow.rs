//! Tests of the follower that builds an entry VM's view from polls of control VMs.

use std::{net, sync, time};

use fireflyspool::{configuration, follow, hub, platform, registry};

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], port))
}

fn document(version: u64) -> configuration::Document {
    let text = format!(r#"{{"Version":{version},"Routes":[],"Backends":[]}}"#);
    configuration::Document {
        version,
        text: text.into(),
    }
}

fn reply(incarnation: u64) -> hub::FollowReply {
    hub::FollowReply {
        rollouts: None,
        incarnation,
        current: true,
        evidence_ms: None,
        document: None,
        zones: None,
        changes: registry::ChangeSet {
            position: 1,
            records: Vec::new(),
        },
        confirmations: Vec::new(),
        outlier_revision: 0,
        content_position: 0,
        contents: Vec::new(),
        outliers: Vec::new(),
        members: 1,
        delegates: None,
        hubs: None,
    }
}

fn follower(now: time::Instant) -> follow::Follower {
    follower_of(0, now)
}

fn follower_of(incarnation: u64, now: time::Instant) -> follow::Follower {
    let member = hub::Member {
        callers: address(100),
        listener: None,
        zone: "b".to_owned(),
        region: "r".to_owned(),
        incarnation,
        ready: false,
    };
    let contacts = vec![address(1), address(2), address(3)];
    let format = sync::Arc::new(platform::ConfigurationFormat);
    follow::Follower::new(member, format, contacts, now).expect("it has contacts")
}

fn record(sequence: u64, phase: registry::Phase) -> registry::Record {
    registry::Record {
        version: String::new(),
        server: "s".to_owned(),
        born: 1,
        sequence,
        service: "shard".to_owned(),
        address: address(80),
        zone: "b".to_owned(),
        slots: 1,
        phase,
        cold_ms: 0,
        age_ms: 0,
        silent: false,
    }
}

/// Guards against a lagging hub that reverts the configuration or the zones taken out.
#[test]
fn an_older_configuration_or_zone_list_is_ignored() {
    let now = time::Instant::now();
    let mut follower = follower(now);
    let zones = |revision, zone: &str| hub::ZonesOut {
        revision,
        zones: vec![zone.to_owned()],
    };
    for (version, revision, zone) in [(5, 7, "a"), (3, 6, "z")] {
        let mut reply = reply(1);
        reply.document = Some(document(version));
        reply.zones = Some(zones(revision, zone));
        follower.poll_ended(Some(reply), now).expect("it decodes");
    }
    let table = follower.view().table.as_ref().expect("a configuration");
    assert_eq!(table.version(), 5);
    assert_eq!(follower.view().zones, zones(7, "a"));
}

/// Guards against a leaving server that gets requests again because another hub lags.
#[test]
fn an_older_record_of_another_hub_is_ignored() {
    let now = time::Instant::now();
    let mut follower = follower(now);
    for record in [
        record(5, registry::Phase::Leaving),
        record(4, registry::Phase::Serving),
    ] {
        let mut reply = reply(1);
        reply.changes.records = vec![record];
        follower.poll_ended(Some(reply), now).expect("it decodes");
    }
    let server = follower.view().servers.get("s").expect("it is known");
    assert_eq!(server.record.phase, registry::Phase::Leaving);
}

/// Guards against an entry VM that stays with a hub which has failed or has lost the
/// majority, and against one that discards its view meanwhile.
#[test]
fn a_failed_poll_switches_to_another_hub_and_keeps_the_view() {
    let mut now = time::Instant::now();
    let mut follower = follower(now);
    let mut first = reply(1);
    first.document = Some(document(5));
    let mut hubs = vec![
        follower
            .poll(&[], now, time::Duration::ZERO)
            .expect("a poll is due")
            .hub,
    ];
    follower.poll_ended(Some(first), now).expect("it decodes");
    for lost in [true, false, true] {
        now += time::Duration::from_secs(1);
        hubs.push(
            follower
                .poll(&[], now, time::Duration::ZERO)
                .expect("a poll is due")
                .hub,
        );
        let mut partitioned = reply(1);
        partitioned.current = false;
        let answer = (!lost).then_some(partitioned);
        follower.poll_ended(answer, now).expect("nothing to decode");
    }
    now += time::Duration::from_secs(1);
    let poll = follower
        .poll(&[], now, time::Duration::ZERO)
        .expect("a poll is due");
    hubs.push(poll.hub);
    assert_ne!(hubs[1], hubs[2]);
    assert_ne!(hubs[2], hubs[3]);
    assert_ne!(hubs[3], hubs[4]);
    assert_eq!(poll.request.version, 5);
    assert!(poll.request.member.ready);
}

/// Guards against needless control traffic between zones.
#[test]
fn a_hub_of_the_own_zone_is_preferred() {
    let mut now = time::Instant::now();
    let mut follower = follower(now);
    let origin = |port, zone: &str| hub::HubInfo {
        rpc: address(port),
        control: address(port),
        zone: zone.to_owned(),
        incarnation: 1,
    };
    follower
        .poll(&[], now, time::Duration::ZERO)
        .expect("a poll is due");
    let mut first = reply(1);
    first.hubs = Some(vec![origin(1, "a"), origin(9, "b")]);
    follower.poll_ended(Some(first), now).expect("it decodes");
    now += time::Duration::from_secs(1);
    assert_eq!(
        follower
            .poll(&[], now, time::Duration::ZERO)
            .expect("a poll is due")
            .hub,
        address(9)
    );
}

/// Guards against callers that are sent to an entry VM which is shutting down.
#[test]
fn a_leaving_entry_vm_reports_it_at_once() {
    let now = time::Instant::now();
    let mut follower = follower(now);
    let mut first = reply(1);
    first.document = Some(document(5));
    follower
        .poll(&[], now, time::Duration::ZERO)
        .expect("a poll is due");
    follower.poll_ended(Some(first), now).expect("it decodes");
    follower.leave(now);
    let poll = follower
        .poll(&[], now, time::Duration::ZERO)
        .expect("a poll is due");
    assert!(!poll.request.member.ready);
}

fn hub_info(port: u16, zone: &str) -> hub::HubInfo {
    hub::HubInfo {
        rpc: address(port),
        control: address(port),
        zone: zone.to_owned(),
        incarnation: 1,
    }
}

/// Ports of the hubs 1 to 6; 3 and 6 are in the zone of the follower.
const PORTS: [u16; 6] = [1, 2, 3, 4, 5, 6];

fn is_local(listener: net::SocketAddr) -> bool {
    listener.port().is_multiple_of(3)
}

/// Plays polls; `current` says which hubs are current. Returns the hub of each poll and
/// whether it was asked for all its records.
fn play(
    follower: &mut follow::Follower,
    now: &mut time::Instant,
    polls: usize,
    current: impl Fn(net::SocketAddr) -> bool,
) -> Vec<(net::SocketAddr, bool)> {
    let mut asked = Vec::new();
    for _ in 0..polls {
        *now += time::Duration::from_millis(250);
        let poll = follower
            .poll(&[], *now, time::Duration::ZERO)
            .expect("a poll is due");
        let incarnation = u64::from(poll.hub.port());
        let known = poll.request.incarnation == incarnation;
        let mut answer = reply(incarnation);
        answer.current = current(poll.hub);
        answer.changes.position = 7;
        let zone = |port: &u16| if port.is_multiple_of(3) { "b" } else { "a" };
        let hubs = PORTS.iter().map(|port| hub_info(*port, zone(port)));
        let hubs: Vec<_> = hubs.collect();
        if poll.request.hubs != hub::HubInfo::checksum(&hubs) {
            answer.hubs = Some(hubs);
        }
        asked.push((poll.hub, poll.request.records && !known));
        follower
            .poll_ended(Some(answer), *now)
            .expect("nothing to decode");
    }
    asked
}

/// While no hub was current, for seconds after a start, each entry VM got all records from
/// hubs of other zones again and again.
#[test]
fn only_hubs_of_the_own_zone_send_all_records_while_none_is_current() {
    let mut now = time::Instant::now();
    let mut follower = follower(now);
    let asked = play(&mut follower, &mut now, 40, |_| false);
    for (hub, complete) in &asked {
        assert!(is_local(*hub) || !complete, "{hub} of another zone");
    }
    let complete = asked.iter().filter(|(_, complete)| *complete).count();
    assert_eq!(
        complete, 2,
        "each hub of the own zone sends its records once"
    );
    let local = asked.iter().filter(|(hub, _)| is_local(*hub)).count();
    assert!((18..=22).contains(&local), "every second poll: {local}");
    let asked = play(&mut follower, &mut now, 3, |_| true);
    assert!(is_local(asked[2].0), "all have become current");
    assert!(asked.iter().all(|(_, complete)| !complete));
}

/// Guards against an entry VM that stays without a view because its zone has lost its hubs.
#[test]
fn a_hub_of_another_zone_is_followed_if_none_of_the_own_is_current() {
    let mut now = time::Instant::now();
    let mut follower = follower(now);
    play(&mut follower, &mut now, 4, |_| true);
    let foreign = |listener| !is_local(listener);
    let asked = play(&mut follower, &mut now, 12, foreign);
    let followed = asked[11].0;
    assert!(!is_local(followed));
    assert!(
        asked[8..].iter().all(|(hub, _)| *hub == followed),
        "{asked:?}"
    );
    let complete: Vec<_> = asked.iter().filter(|(_, complete)| *complete).collect();
    assert!(complete.iter().filter(|(hub, _)| !is_local(*hub)).count() == 1);
    assert_eq!(follower.view().confirmed, Some(now));
}

/// Guards against a view that counts as confirmed although its records were not sent.
#[test]
fn a_hub_that_is_only_asked_whether_it_is_current_confirms_nothing() {
    let now = time::Instant::now();
    let mut follower = follower(now);
    let poll = follower
        .poll(&[], now, time::Duration::ZERO)
        .expect("a poll is due");
    assert!(!poll.request.records, "its zone is not known");
    follower
        .poll_ended(Some(reply(1)), now)
        .expect("nothing to decode");
    assert_eq!(follower.view().confirmed, None);
}

/// Reports of a slow server that were spread over nine hubs were too few at each of them.
#[test]
fn all_entry_vms_report_a_server_to_the_same_hub() {
    let now = time::Instant::now();
    let make = |incarnation, current: fn(net::SocketAddr) -> bool| {
        let mut now = now;
        let mut follower = follower_of(incarnation, now);
        play(&mut follower, &mut now, 4, current);
        follower
    };
    // They follow different hubs.
    let one = make(0, |_| true);
    let other = make(1, |hub: net::SocketAddr| hub.port() == 3);
    let observers: Vec<_> = (0..60)
        .map(|number| {
            let observation = (format!("i-{number}"), hub::Symptom::Overdue);
            let observer = one.observer(&observation);
            assert_eq!(observer, other.observer(&observation), "{number}");
            observer.port()
        })
        .collect();
    for port in PORTS {
        let count = observers.iter().filter(|observer| **observer == port);
        assert!(count.count() >= 3, "an even share: {observers:?}");
    }
    let departure = ("i-1".to_owned(), hub::Symptom::Leaving { born: 1 });
    assert_eq!(one.observer(&departure), one.hub());
}

/// Guards against a list of hubs that stays as it was when one takes the place of another.
#[test]
fn the_checksum_tells_lists_of_the_same_length_apart() {
    let hubs = |ports: [u16; 3]| ports.map(|port| hub_info(port, "a"));
    let checksum = hub::HubInfo::checksum(&hubs([1, 2, 3]));
    assert_eq!(checksum, hub::HubInfo::checksum(&hubs([3, 1, 2])));
    assert_ne!(checksum, hub::HubInfo::checksum(&hubs([1, 2, 4])));
    let mut restarted = hubs([1, 2, 3]);
    restarted[0].incarnation += 1;
    assert_ne!(checksum, hub::HubInfo::checksum(&restarted));
    assert_eq!(hub::HubInfo::checksum(&[]), 0);
}

/// Guards against a list of entry VMs that is sent again and again, or asked of a hub that
/// only says whether it is current.
#[test]
fn known_entry_vms_are_stated_in_polls_and_replaced_by_replies() {
    let now = time::Instant::now();
    let mut follower = follower(now);
    let delegates = vec![hub::Delegate {
        listener: address(300),
        zone: "c".to_owned(),
        incarnation: 9,
    }];
    let hubs = vec![hub::HubInfo {
        rpc: address(4),
        control: address(1_004),
        zone: "b".to_owned(),
        incarnation: 4,
    }];
    let poll = follower
        .poll(&[], now, time::Duration::ZERO)
        .expect("a poll is due");
    assert_eq!(
        poll.request.delegates, None,
        "no hub of the own zone is known"
    );
    let first = hub::FollowReply {
        hubs: Some(hubs),
        ..reply(1)
    };
    follower.poll_ended(Some(first), now).expect("it is valid");
    let now = now + time::Duration::from_millis(100);
    let poll = follower
        .poll(&[], now, time::Duration::ZERO)
        .expect("a poll is due");
    assert_eq!(poll.request.delegates, Some(0));
    let second = hub::FollowReply {
        delegates: Some(delegates.clone()),
        ..reply(4)
    };
    follower.poll_ended(Some(second), now).expect("it is valid");
    assert_eq!(follower.view().delegates, delegates);
    let now = now + time::Duration::from_millis(100);
    let poll = follower
        .poll(&[], now, time::Duration::ZERO)
        .expect("a poll is due");
    let checksum = hub::Delegate::checksum(&delegates);
    assert_eq!(poll.request.delegates, Some(checksum));
    follower
        .poll_ended(Some(reply(4)), now)
        .expect("it is valid");
    assert_eq!(follower.view().delegates, delegates, "no news");
}

/// Guards against an entry VM that keeps to control VMs which are cut off from the majority,
/// because they and all contacts of its settings are on the same side of the cut.
#[test]
fn hubs_that_a_cut_off_hub_does_not_reach_are_still_asked() {
    let mut now = time::Instant::now();
    let mut follower = follower(now);
    let info = |port: u16| hub::HubInfo {
        rpc: address(port),
        control: address(port + 1_000),
        zone: ["a", "b", "c"][usize::from(port % 3)].to_owned(),
        incarnation: u64::from(port),
    };
    let poll = follower
        .poll(&[], now, time::Duration::ZERO)
        .expect("a poll");
    let mut first = reply(u64::from(poll.hub.port()));
    first.hubs = Some((1..10).map(info).collect());
    follower.poll_ended(Some(first), now).expect("it decodes");
    let majority = 5..10;
    for _ in 0..40 {
        now += time::Duration::from_millis(200);
        let poll = follower
            .poll(&[], now, time::Duration::ZERO)
            .expect("a poll");
        if majority.contains(&poll.hub.port()) {
            return;
        }
        let mut answer = reply(u64::from(poll.hub.port()));
        answer.current = false;
        answer.hubs = Some((1..5).map(info).collect());
        follower.poll_ended(Some(answer), now).expect("it decodes");
    }
    panic!("no hub of the majority is asked");
}

/// Reply with a configuration that has a client account, and evidence of this age.
fn keyed_reply(version: u64, evidence_ms: Option<u64>) -> hub::FollowReply {
    let text = format!(
        r#"{{"Version":{version},"Routes":[],"Backends":[],
        "Tenants":[{{"Name":"t","ApiKeys":["k"]}}]}}"#
    );
    hub::FollowReply {
        evidence_ms,
        document: Some(configuration::Document {
            version,
            text: text.into(),
        }),
        ..reply(1)
    }
}

/// Guards against an authority that counts from the arrival of a reply, goes back, or comes with a
/// configuration that is not in use.
#[test]
fn the_authority_is_the_time_of_the_poll_less_the_age_of_the_evidence() {
    let second = time::Duration::from_secs(1);
    let mut now = time::Instant::now();
    let mut follower = follower(now);
    let mut unreadable = keyed_reply(9, Some(0));
    unreadable.document = Some(configuration::Document {
        version: 9,
        text: "{".into(),
    });
    let cases = [
        // Evidence from before the start of this machine is none.
        (5, keyed_reply(1, Some(6_000)), None),
        (10, keyed_reply(2, Some(1_000)), Some(9)),
        (20, keyed_reply(2, None), Some(9)),
        (21, keyed_reply(2, Some(15_000)), Some(9)),
        (22, unreadable, Some(9)),
        (30, keyed_reply(2, Some(0)), Some(30)),
    ];
    for (boot, reply, expected) in cases {
        now += second;
        let poll = follower.poll(&[], now, second * boot);
        assert!(poll.is_some(), "a poll is due");
        let readable = reply.document.as_ref().is_some_and(|held| held.version < 9);
        assert_eq!(follower.poll_ended(Some(reply), now).is_ok(), readable);
        let expected = expected.map(|seconds| second * seconds);
        assert_eq!(follower.view().authority, expected, "after {boot} s");
    }
}

/// Guards against an entry VM that refuses all keys because it stays with a hub whose log fails.
#[test]
fn a_hub_without_evidence_is_left_if_there_are_accounts() {
    let second = time::Duration::from_secs(1);
    for (first, stays) in [(keyed_reply(1, Some(0)), false), (reply(1), true)] {
        let mut now = time::Instant::now();
        let mut follower = follower(now);
        follower.poll_ended(Some(first), now).expect("it decodes");
        for evidence_ms in [None, Some(2_501)] {
            let former = follower.hub();
            now += second;
            follower.poll(&[], now, second).expect("a poll is due");
            let mut answer = reply(1);
            answer.evidence_ms = evidence_ms;
            follower
                .poll_ended(Some(answer), now)
                .expect("nothing to decode");
            assert_eq!(follower.hub() == former, stays, "{evidence_ms:?}");
        }
    }
}
