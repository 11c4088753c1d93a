//! Warnings of contents that crash backend servers.

#[path = "common/view_outlet.rs"]
mod view_outlet;

use std::{net, time};

use tokio::sync::oneshot;

use fireflyspool::{control, lease, roster, view};

const INTERVAL: time::Duration = time::Duration::from_secs(1);

fn member(node: u64) -> view::Member {
    view::Member {
        node,
        incarnation: 1,
        zone: "a".to_owned(),
        http: address(8_000, node),
        rpc: address(9_000, node),
        leaving: false,
        load: 0,
    }
}

fn address(base: u16, node: u64) -> net::SocketAddr {
    let node = u16::try_from(node).expect("a small number");
    net::SocketAddr::from(([127, 0, 0, 1], base + node))
}

fn crash(incarnation: u64) -> roster::Crash {
    roster::Crash {
        fingerprint: 7,
        server: "s".to_owned(),
        incarnation,
    }
}

/// An entry VM that was granted a lease and knows the members 1 to 3.
fn entry(outlet: &view_outlet::ViewOutlet, now: time::Instant) -> control::LeaseDriver {
    let holder = lease::Holder::new(member(1), lease::Config::default());
    let mut entry = control::LeaseDriver::new(holder, INTERVAL, now);
    let leader = [(9, address(9_000, 9))];
    entry.tick(&leader, outlet, now);
    let members = (1..=3).map(|node| roster::MemberChange {
        sequence: node,
        node,
        record: Some(member(node)),
    });
    let grant = roster::Grant {
        incarnation: 1,
        number: 1,
        revision: 0,
        lease: INTERVAL * 3,
        catalog: None,
        roster: roster::Update {
            version: roster::Version {
                term: 1,
                sequence: 3,
            },
            base: 0,
            settled: true,
            members: members.collect(),
            servers: Vec::new(),
            suspects: Vec::new(),
        },
    };
    entry.renewal_ended(Some(roster::RenewReply::Granted(grant)), now, outlet, now);
    entry
}

fn warn(
    entry: &mut control::LeaseDriver,
    crashes: Vec<roster::Crash>,
    outlet: &view_outlet::ViewOutlet,
    now: time::Instant,
) -> oneshot::Receiver<()> {
    let (reply, told) = oneshot::channel();
    entry.handle(control::Event::CrashWarning { crashes, reply }, outlet, now);
    told
}

/// Guards against a warning that waits for the leader, and against one crash
/// that counts once for each VM that tells of it.
#[test]
fn a_warning_counts_each_crash_once_before_the_leader_names_it() {
    let outlet = view_outlet::ViewOutlet::default();
    let now = time::Instant::now();
    let mut entry = entry(&outlet, now);
    let mut told = warn(&mut entry, vec![crash(1), crash(1)], &outlet, now);
    assert!(told.try_recv().is_ok(), "answered once it is in the view");
    warn(&mut entry, vec![crash(1), crash(2)], &outlet, now);
    assert_eq!(outlet.view().suspects.get(&7), Some(&2));
}

/// Guards against a suspicion without end when no leader ever confirms it.
#[test]
fn a_warning_that_no_leader_confirms_ends() {
    let outlet = view_outlet::ViewOutlet::default();
    let now = time::Instant::now();
    let mut entry = entry(&outlet, now);
    warn(&mut entry, vec![crash(1)], &outlet, now);
    let later = now + time::Duration::from_secs(60);
    let other = roster::Crash {
        fingerprint: 8,
        ..crash(1)
    };
    warn(&mut entry, vec![other], &outlet, later);
    let view = outlet.view();
    assert_eq!(view.suspects.get(&7), None);
    assert_eq!(view.suspects.get(&8), Some(&1));
}
