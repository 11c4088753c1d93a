//! Control traffic of a site against its size, in virtual time.
//!
//! `cargo test --release -p fireflyspool --test control_traffic -- --nocapture` prints the
//! figures of docs/CAPACITY.md.

mod control_site;

use std::time;

use control_site::{ControlSite, Traffic};

const SECONDS: u64 = 10;

/// Bytes that control may cost a VM in a second; from the users' target.
const MAX_BYTES: f64 = 4_096.0;

/// Time between servers that turn slow.
const INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Polls of a VM in a second that are held as long as possible, and ten for changes.
const MAX_POLLS: f64 = 12.5;

/// Calm traffic of a site for [`SECONDS`].
fn measure(entry_vms: u16) -> Traffic {
    let mut site = ControlSite::settled(entry_vms);
    site.run(time::Duration::from_secs(SECONDS));
    let traffic = site.traffic;
    let per_vm = |count: usize| count as f64 / (f64::from(entry_vms) * SECONDS as f64);
    println!(
        "{entry_vms} entry VMs: a VM and second {:.2} polls, {:.0} B polls, {:.0} B replies, \
         {:.0} B batches; {:.1} batches/s of {:.0} B",
        per_vm(traffic.polls.messages),
        per_vm(traffic.polls.bytes),
        per_vm(traffic.replies.bytes),
        per_vm(traffic.batches.bytes),
        traffic.batches.messages as f64 / SECONDS as f64,
        traffic.batches.bytes as f64 / traffic.batches.messages as f64,
    );
    traffic
}

/// Guards against messages that grow with the number of VMs: each VM then costs more the
/// larger the site is.
#[test]
fn control_costs_a_vm_no_more_on_a_large_site() {
    let per_vm = [30_u16, 100, 300].map(|entry_vms| {
        let total = measure(entry_vms).total();
        let vms = f64::from(entry_vms) * SECONDS as f64;
        (total.messages as f64 / vms, total.bytes as f64 / vms)
    });
    let [small, .., large] = per_vm;
    assert!(large.0 <= small.0, "messages: {per_vm:?}");
    assert!(large.1 <= small.1, "bytes: {per_vm:?}");
    assert!(large.1 <= MAX_BYTES, "bytes: {per_vm:?}");
}

/// A disturbance slows many servers within a few seconds. Each change of the list of
/// outliers answered the polls of all entry VMs, which polled again at once.
#[test]
fn a_disturbance_of_many_servers_does_not_multiply_polls() {
    let mut site = ControlSite::settled(300);
    // Every tenth server turns slow, one after the other, and stays so.
    let slow: Vec<u16> = (0..690).step_by(10).collect();
    let mut started = time::Duration::ZERO;
    for count in 1..=slow.len() {
        site.report_overdue(slow.iter().copied().take(count));
        site.run(INTERVAL);
        started += INTERVAL;
    }
    let polls = site.traffic.polls.messages as f64 / site.entry_vms() as f64;
    let rate = polls / started.as_secs_f64();
    println!("{rate:.1} polls a VM and second while servers turn slow");
    assert!(rate <= MAX_POLLS, "{rate}");
    for _ in 0..20 {
        site.report_overdue(slow.iter().copied());
        site.run(INTERVAL);
    }
    let listed = site.follower(0).view().outliers.len();
    assert_eq!(listed, slow.len(), "all entry VMs know all of them");
}

/// A slow server of a large site gets some thirty requests a second, each from another entry
/// VM. Guards against reports that are too few at each hub to list it.
#[test]
fn a_slow_server_of_a_large_site_is_listed_at_all_entry_vms() {
    let mut site = ControlSite::settled(300);
    for _ in 0..20 {
        site.report_overdue([17].into_iter());
        site.run(time::Duration::from_millis(30));
    }
    for number in 0..site.entry_vms() {
        let outliers = &site.follower(number).view().outliers;
        assert_eq!(*outliers, [control_site::server_name(17)], "VM {number}");
    }
}

/// Healthy servers pause now and then, and a few requests at them are overdue. Guards against
/// lists of outliers that change in calm, of which all entry VMs are told each time.
#[test]
fn healthy_servers_of_a_large_site_are_not_listed_in_calm() {
    const SERVERS: u16 = 270;
    const SPACING: u64 = 31;
    const PAUSE: u64 = 120;
    const PAUSE_INTERVAL: u64 = 3_000;
    const OVERDUE_SHARE: f64 = 0.02;
    let mut site = ControlSite::settled(300);
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    let mut draw = || {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (random >> 40) as f64 / f64::from(1 << 24)
    };
    let mut changes = 0;
    let mut last = Vec::new();
    for millis in (0..20_000_u64).step_by(10) {
        let mut is_overdue = |server: &u16| {
            let phase = millis + u64::from(*server) * 37;
            // One request in each spacing, evenly spread over the servers.
            let arrives = phase % SPACING < 10;
            let paused = phase % PAUSE_INTERVAL < PAUSE;
            arrives && (paused || draw() < OVERDUE_SHARE)
        };
        let overdue: Vec<u16> = (0..SERVERS).filter(&mut is_overdue).collect();
        site.report_overdue(overdue.into_iter());
        site.run(time::Duration::from_millis(10));
        let outliers = &site.follower(0).view().outliers;
        changes += usize::from(*outliers != last);
        last.clone_from(outliers);
    }
    assert!(changes <= 2, "{changes} changes in 20 s");
}
