//! How all entry VMs of a site learn of a content that crashes servers, in virtual time.

mod control_site;

use std::time;

use control_site::ControlSite;
use fireflyspool::containment;

const CONTENT: u64 = 77;

/// Entry VMs of the largest site.
const ENTRY_VMS: u16 = 300;

/// Time in which all VMs must know; the users' pages allow it from the third crash on.
const CONTACT_TIME: time::Duration = time::Duration::from_secs(4);

/// Bytes that control may cost a VM in a second; from the users' target.
const MAX_BYTES: f64 = 4_096.0;

fn crash(number: usize, probe: bool) -> containment::Crash {
    containment::Crash {
        unseen: false,
        server: format!("i-{number:08x}"),
        born: 1_764_880_000_000,
        probe,
    }
}

/// Has entry VMs of different zones notice enough crashes for a refusal.
fn crash_servers(site: &mut ControlSite, lost: bool) {
    for number in 0..3 {
        site.report_crash(number * 7, CONTENT, crash(number, number == 2), lost);
    }
}

/// Guards against a content that is refused only where its crashes were seen.
#[test]
fn all_entry_vms_refuse_a_content_soon_after_the_third_crash() {
    for lost in [false, true] {
        let mut site = ControlSite::settled(ENTRY_VMS);
        crash_servers(&mut site, lost);
        site.run(CONTACT_TIME);
        assert_eq!(site.refusing(CONTENT), site.entry_vms(), "lost: {lost}");
    }
}

/// Guards against a restart of control VMs after which the content is sent to servers again.
#[test]
fn restarted_control_vms_learn_what_entry_vms_know() {
    let mut site = ControlSite::settled(ENTRY_VMS);
    crash_servers(&mut site, false);
    site.run(CONTACT_TIME);
    site.restart_hubs(0..site.control_vms());
    site.run(CONTACT_TIME);
    site.restart_hubs(0..2);
    site.run(CONTACT_TIME);
    assert_eq!(site.refusing(CONTENT), site.entry_vms());
    // What they know is enough for a content that one entry VM alone has met.
    site.report_crash(5, CONTENT, crash(9, true), false);
    site.run(CONTACT_TIME);
    assert_eq!(site.refusing(CONTENT), site.entry_vms());
}

/// Control VMs that were all restarted between the crashes had none of the earlier ones.
#[test]
fn crashes_before_and_after_a_restart_of_control_vms_count_together() {
    let mut site = ControlSite::settled(ENTRY_VMS);
    site.report_crash(0, CONTENT, crash(0, false), false);
    site.report_crash(7, CONTENT, crash(1, false), true);
    site.restart_hubs(0..site.control_vms());
    site.run(time::Duration::from_millis(500));
    site.report_crash(14, CONTENT, crash(2, true), false);
    site.run(CONTACT_TIME);
    assert_eq!(site.refusing(CONTENT), site.entry_vms());
}

/// Guards against crashes that only a control VM learns of that is cut off.
#[test]
fn crashes_reported_to_a_control_vm_that_is_cut_off_reach_all_entry_vms() {
    let mut site = ControlSite::settled(ENTRY_VMS);
    let hub = site.hub_of(0);
    site.report_crash(0, CONTENT, crash(0, false), false);
    site.cut_hub(Some(hub));
    for number in 1..3 {
        site.report_crash(0, CONTENT, crash(number, number == 2), false);
    }
    site.run(CONTACT_TIME);
    assert_eq!(site.refusing(CONTENT), site.entry_vms(), "during the cut");
    site.cut_hub(None);
    site.run(CONTACT_TIME);
    assert_eq!(site.refusing(CONTENT), site.entry_vms(), "after it");
}

/// Guards against control traffic that grows with the contents that met a crash: a zone with
/// half of the servers is lost, under 50 queries of entry VMs each second, and one more
/// content is refused meanwhile.
#[test]
fn contents_cost_a_vm_little_while_a_zone_is_lost() {
    let mut site = ControlSite::settled(ENTRY_VMS);
    let seconds = 4;
    for tick in 0..seconds * 50 {
        let vm = tick * 13 % site.entry_vms();
        for number in 0..30 {
            let content = 1_000 + tick as u64;
            site.report_crash(vm, content, crash(tick * 30 + number, false), false);
        }
        if tick == 20 {
            crash_servers(&mut site, false);
        }
        site.run(time::Duration::from_millis(20));
    }
    let total = site.traffic.total();
    let vms = (site.entry_vms() * seconds) as f64;
    let (messages, bytes) = (total.messages as f64 / vms, total.bytes as f64 / vms);
    println!("a VM and second: {messages:.1} messages, {bytes:.0} B");
    assert_eq!(site.refusing(CONTENT), site.entry_vms());
    assert!(bytes <= MAX_BYTES, "{bytes:.0} B a VM and second");
}
