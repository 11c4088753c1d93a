//! Processes that start while the control VMs that their settings name are exchanged.

mod platform_site;

use std::{sync, time};

use platform_site::{Caller, SHARDS, SINGLE_SERVICE, Site, StandInServer, WAIT_LIMIT};

const CONTROLS: [u8; 3] = [1, 2, 3];

/// Control VM that takes the place of the first one, and one that never existed.
const NEW: u8 = 4;
const ABSENT: u8 = 9;

/// Guards against an entry VM that finds no control VM because those in its settings are the
/// ones that come and go: one has joined a moment ago, one is gone, one was never there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_vm_starts_with_seeds_that_are_being_exchanged() {
    let site = sync::Arc::new(Site::new(53));
    let zones = CONTROLS.iter().zip(["a", "b", "c"]);
    let controls = zones.map(|(vm, zone)| site.start(*vm, "control", zone, true));
    let mut controls: Vec<_> = controls.collect();
    let configuration = site.configuration(5, 1_500);
    site.order(&CONTROLS, "/fireflyspool/Config.Replace", configuration)
        .await;
    let former = site.start(11, "entry", "a", true);
    let mut servers = Vec::new();
    for service in SHARDS.iter().chain([&SINGLE_SERVICE]) {
        for number in 0..2 {
            servers.push(StandInServer::start(service, number, "a", false).await);
        }
    }
    let heartbeats = sync::Arc::clone(&site);
    tokio::spawn(async move {
        loop {
            for server in &mut servers {
                let controls = [NEW, 2, 3];
                server.send_heartbeat(&heartbeats, &controls, "ready").await;
            }
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
    });

    controls.remove(0).kill();
    let joined = site.start_with_seeds(NEW, ("control", "a"), false, &[1, 2, 3]);
    let exchanged = [NEW, 1, ABSENT];
    let late = site.start_with_seeds(12, ("entry", "a"), true, &exchanged);
    let mut caller = Caller::new();
    for vm in [11, 12] {
        let entry = site.address(vm, 1);
        let start = time::Instant::now();
        while caller.query_shards(entry).await != Some(0) {
            assert!(start.elapsed() < WAIT_LIMIT, "entry VM {vm} does not serve");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }
    let text = site.read_back(&[NEW]).await;
    assert!(text.contains("\"Version\":5"), "the new one holds: {text}");
    let addresses = caller.resolve(&site, NEW, 2).await;
    assert_eq!(addresses.len(), 2, "and knows both entry VMs");
    drop((former, late, joined, controls));
}
