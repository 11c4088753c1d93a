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
        incarnation,
        current: true,
        document: None,
        zones: None,
        changes: registry::ChangeSet {
            position: 1,
            records: Vec::new(),
        },
        confirmations: Vec::new(),
        outlier_revision: 0,
        outliers: Vec::new(),
        members: 1,
        hubs: None,
    }
}

fn follower(now: time::Instant) -> follow::Follower {
    let member = hub::Member {
        callers: address(100),
        zone: "b".to_owned(),
        region: "r".to_owned(),
        incarnation: 0,
        ready: false,
    };
    let contacts = vec![address(1), address(2), address(3)];
    let format = sync::Arc::new(platform::ConfigurationFormat);
    follow::Follower::new(member, format, contacts, now).expect("it has contacts")
}

fn record(sequence: u64, phase: registry::Phase) -> registry::Record {
    registry::Record {
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
    let mut hubs = vec![follower.poll(&[], now).expect("a poll is due").hub];
    follower.poll_ended(Some(first), now).expect("it decodes");
    for lost in [true, false, true] {
        now += time::Duration::from_secs(1);
        hubs.push(follower.poll(&[], now).expect("a poll is due").hub);
        let mut partitioned = reply(1);
        partitioned.current = false;
        let answer = (!lost).then_some(partitioned);
        follower.poll_ended(answer, now).expect("nothing to decode");
    }
    now += time::Duration::from_secs(1);
    let poll = follower.poll(&[], now).expect("a poll is due");
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
    follower.poll(&[], now).expect("a poll is due");
    let mut first = reply(1);
    first.hubs = Some(vec![origin(1, "a"), origin(9, "b")]);
    follower.poll_ended(Some(first), now).expect("it decodes");
    now += time::Duration::from_secs(1);
    assert_eq!(
        follower.poll(&[], now).expect("a poll is due").hub,
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
    follower.poll(&[], now).expect("a poll is due");
    follower.poll_ended(Some(first), now).expect("it decodes");
    follower.leave(now);
    let poll = follower.poll(&[], now).expect("a poll is due");
    assert!(!poll.request.member.ready);
}
