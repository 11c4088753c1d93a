//! Control VMs that join the group and leave it, as real processes.

mod platform_site;

use std::time;

use platform_site::{Process, Site, WAIT_LIMIT};

const SEEDS: [u8; 3] = [1, 2, 3];
const CONTROLS: [u8; 5] = [1, 2, 3, 4, 5];
const ZONES: [&str; 5] = ["a", "b", "c", "a", "b"];

/// Starts five control VMs, three of them seeds, and sets a configuration.
async fn start_group(site: &Site) -> Vec<Process> {
    let vms = CONTROLS.iter().zip(ZONES);
    let started = vms.map(|(vm, zone)| site.start(*vm, "control", zone, true));
    let started = started.collect();
    let configuration = site.configuration(3, 1_500);
    site.order(&CONTROLS, "/fireflyspool/Config.Replace", configuration)
        .await;
    for vm in CONTROLS {
        await_leader(site, vm).await;
    }
    started
}

/// Whether a replica follows a leader or leads, by its latest change of role.
fn has_leader(site: &Site, vm: u8) -> bool {
    let log = site.log(vm, "control");
    let changes = |line: &&str| line.contains("role of this replica changed");
    let role = log.lines().rfind(changes);
    role.is_some_and(|line| !line.contains("\"leader\":null"))
}

async fn await_leader(site: &Site, vm: u8) {
    let start = time::Instant::now();
    while !has_leader(site, vm) {
        assert!(start.elapsed() < WAIT_LIMIT, "VM {vm} did not join");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Control VM that was elected last.
fn leader(site: &Site) -> u8 {
    let elected = |vm: &u8| {
        let log = site.log(*vm, "control");
        let lines = log
            .lines()
            .filter(|line| line.contains("\"role\":\"Leader\""));
        let terms = lines.filter_map(|line| {
            let line: serde_json::Value = serde_json::from_str(line).ok()?;
            line["term"].as_u64()
        });
        Some((terms.max()?, *vm))
    };
    let newest = CONTROLS.iter().filter_map(elected).max();
    newest.expect("a leader was elected").1
}

/// Guards against control VMs with lost disks, or new ones, that never join because the leader
/// is none of those that their settings name.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_vm_joins_while_none_of_its_contacts_leads() {
    let site = Site::new(71);
    let mut controls = start_group(&site).await;
    let leader = leader(&site);
    let others: Vec<_> = SEEDS.into_iter().filter(|vm| *vm != leader).collect();
    let new = site.start_with_seeds(6, ("control", "c"), false, &others[..2]);
    await_leader(&site, 6).await;
    controls.push(new);
}

/// Time that a VM has to join before the next one is lost.
const CATCH_UP: time::Duration = time::Duration::from_secs(4);

/// Pause between the loss of a VM and the start of its successor, and between the start of a
/// successor and the planned stop of the VM that it replaces.
const HANDOVER: time::Duration = time::Duration::from_secs(1);

/// Guards against a group that loses its majority because voters that were replaced for good are
/// kept while the next ones are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_group_whose_vms_are_replaced_one_after_another_keeps_working() {
    let site = Site::new(74);
    let mut running: Vec<_> = CONTROLS.into_iter().zip(start_group(&site).await).collect();
    // All voters have to be seen together before one of them can count as replaced.
    tokio::time::sleep(CATCH_UP).await;
    for round in 0..8_u8 {
        let (new, is_planned) = (round + 6, round % 2 == 0);
        let seeds: Vec<_> = running.iter().rev().take(3).map(|(vm, _)| *vm).collect();
        let former = running.remove(0).1;
        let start = || site.start_with_seeds(new, ("control", "a"), false, &seeds);
        if is_planned {
            running.push((new, start()));
            tokio::time::sleep(HANDOVER).await;
            former.terminate();
            assert_eq!(former.wait(WAIT_LIMIT).await, Some(0));
        } else {
            former.kill();
            tokio::time::sleep(HANDOVER).await;
            running.push((new, start()));
        }
        tokio::time::sleep(CATCH_UP).await;
        let configuration = site.configuration(u64::from(round) + 4, 1_500);
        let vms: Vec<_> = running.iter().map(|(vm, _)| *vm).collect();
        site.order(&vms, "/fireflyspool/Config.Replace", configuration)
            .await;
    }
    let vms: Vec<_> = running.iter().map(|(vm, _)| *vm).collect();
    let text = site.read_back(&vms).await;
    assert!(text.contains("\"Version\":11"), "the newest one: {text}");
}
