//! Whom a VM asks to join the control group, and when.

use std::{net, time};

use fireflyspool::control;

fn listener(vm: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, vm], 7_740))
}

/// Guards against a VM that never joins because it asks only those that its settings name.
#[test]
fn the_leader_that_a_reply_names_is_asked_at_once() {
    let now = time::Instant::now();
    let contacts = [listener(1), listener(2)];
    let mut requests = control::JoinRequests::new(now);
    let first = requests.next(&contacts, now);
    assert!(first.is_some_and(|asked| contacts.contains(&asked)));
    requests.refused(Some(listener(7)), now);
    assert!(requests.is_due(now));
    assert_eq!(requests.next(&contacts, now), Some(listener(7)));
}

/// Guards against requests that go to and fro between VMs with an old view of the leader.
#[test]
fn vms_that_name_each_other_are_not_asked_without_a_pause() {
    let start = time::Instant::now();
    let mut now = start;
    let mut requests = control::JoinRequests::new(now);
    let mut sent = 0;
    while now < start + time::Duration::from_secs(2) {
        if requests.is_due(now) {
            let asked = requests.next(&[listener(1), listener(2)], now);
            let other = match asked == Some(listener(1)) {
                true => listener(2),
                false => listener(1),
            };
            sent += 1;
            requests.refused(Some(other), now);
        }
        now += time::Duration::from_millis(1);
    }
    assert!(sent <= 20, "{sent} requests in two seconds");
}

/// Guards against a VM that keeps asking a leader that has gone meanwhile.
#[test]
fn the_others_are_asked_if_the_named_leader_does_not_reply() {
    let mut now = time::Instant::now();
    let contacts = [listener(1), listener(2), listener(3)];
    let mut requests = control::JoinRequests::new(now);
    requests.next(&contacts, now);
    requests.refused(Some(listener(7)), now);
    assert_eq!(requests.next(&contacts, now), Some(listener(7)));
    let mut asked = Vec::new();
    for _ in 0..contacts.len() {
        requests.unanswered(now);
        now = requests.due();
        asked.extend(requests.next(&contacts, now));
    }
    asked.sort_unstable();
    assert_eq!(asked, contacts);
}
