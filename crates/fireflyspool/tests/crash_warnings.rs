//! Tests of warnings of request content that crashes backend servers.

#[path = "common/view_outlet.rs"]
mod view_outlet;

use std::{net, time};

use tokio::sync::oneshot;

use fireflyspool::{control, lease, roster, view};

const RENEWAL_INTERVAL: time::Duration = time::Duration::from_secs(1);

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

/// Driver of an entry VM that holds a lease and knows the members 1 to 3.
fn leased_driver(outlet: &view_outlet::ViewOutlet, now: time::Instant) -> control::LeaseDriver {
    let holder = lease::Holder::new(member(1), lease::Config::default());
    let mut driver = control::LeaseDriver::new(holder, RENEWAL_INTERVAL, now);
    let leader = [(9, address(9_000, 9))];
    driver.tick(&leader, outlet, now);
    let members = (1..=3).map(|node| roster::MemberChange {
        sequence: node,
        node,
        record: Some(member(node)),
    });
    let grant = roster::Grant {
        incarnation: 1,
        number: 1,
        revision: 0,
        lease: RENEWAL_INTERVAL * 3,
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
    driver.renewal_ended(Some(roster::RenewReply::Granted(grant)), now, outlet, now);
    driver
}

fn warn(
    driver: &mut control::LeaseDriver,
    crashes: Vec<roster::Crash>,
    outlet: &view_outlet::ViewOutlet,
    now: time::Instant,
) -> oneshot::Receiver<()> {
    let (reply, acknowledged) = oneshot::channel();
    driver.handle(control::Event::CrashWarning { crashes, reply }, outlet, now);
    acknowledged
}

/// Guards against a warning that has no effect until the leader confirms it, and
/// against a crash that counts once for each VM that reports it.
#[test]
fn a_warning_counts_each_crash_once_before_the_leader_confirms_it() {
    let outlet = view_outlet::ViewOutlet::default();
    let now = time::Instant::now();
    let mut driver = leased_driver(&outlet, now);
    let mut acknowledged = warn(&mut driver, vec![crash(1), crash(1)], &outlet, now);
    assert!(
        acknowledged.try_recv().is_ok(),
        "answered once it is in the view"
    );
    warn(&mut driver, vec![crash(1), crash(2)], &outlet, now);
    assert_eq!(outlet.view().suspects.get(&7), Some(&2));
}

/// Guards against a fingerprint that stays a suspect although no leader ever confirms it.
#[test]
fn a_warning_that_no_leader_confirms_expires() {
    let outlet = view_outlet::ViewOutlet::default();
    let now = time::Instant::now();
    let mut driver = leased_driver(&outlet, now);
    warn(&mut driver, vec![crash(1)], &outlet, now);
    let later = now + time::Duration::from_secs(60);
    let other = roster::Crash {
        fingerprint: 8,
        ..crash(1)
    };
    warn(&mut driver, vec![other], &outlet, later);
    let view = outlet.view();
    assert_eq!(view.suspects.get(&7), None);
    assert_eq!(view.suspects.get(&8), Some(&1));
}
