//! End-to-end tests with real processes, without the users' bench.

mod platform_site;

use std::{sync, time};

use platform_site::{Caller, Process, SHARDS, SINGLE_SERVICE, Site, StandInServer};
use rustix::process::Signal;
use tokio::sync::Mutex;

/// Backend servers that the test and the heartbeat task share.
type SharedServers = sync::Arc<Mutex<Vec<StandInServer>>>;

/// Numbers of the control VMs.
const CONTROLS: [u8; 4] = [1, 2, 3, 4];

/// Starts three founding control VMs, one that joins, and two entry VMs.
fn start_all(site: &Site) -> (Vec<Process>, Vec<Process>) {
    let zones = ["a", "b", "c", "a"];
    let controls = CONTROLS.iter().zip(zones);
    let controls = controls.map(|(vm, zone)| site.start(*vm, "control", zone, true));
    let entries = [11, 12].map(|vm| site.start(vm, "entry", "a", true));
    (controls.collect(), entries.into())
}

/// Starts backend servers and their heartbeats.
async fn start_servers(site: &sync::Arc<Site>, inject_faults: bool) -> SharedServers {
    let mut servers = Vec::new();
    for service in SHARDS.iter().chain([&SINGLE_SERVICE]) {
        for (number, zone) in ["a", "b"].into_iter().enumerate() {
            servers.push(StandInServer::start(service, number, zone, inject_faults).await);
        }
    }
    let servers = sync::Arc::new(Mutex::new(servers));
    let (reporting, site) = (sync::Arc::clone(&servers), sync::Arc::clone(site));
    tokio::spawn(async move {
        loop {
            for server in reporting.lock().await.iter_mut() {
                server.send_heartbeat(&site, &CONTROLS, "ready").await;
            }
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
    });
    servers
}

/// Waits until a query gets all shards and a single request succeeds.
async fn wait_until_complete(caller: &mut Caller, entry: std::net::SocketAddr) {
    let start = time::Instant::now();
    while caller.query_shards(entry).await != Some(0)
        || caller.send_single(entry).await != Some(200)
    {
        assert!(
            start.elapsed() < platform_site::WAIT_LIMIT,
            "no complete answer"
        );
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Guards against faults of the whole path: forming the control group from seeds,
/// acknowledging a configuration, answers whose parts, records and ids match while
/// servers pause, refuse, close connections and send answers that belong to no
/// request, and a non-idempotent request that runs twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_are_complete_and_match_their_requests() {
    let site = sync::Arc::new(Site::new(1));
    let (_controls, _entries) = start_all(&site);
    let replace = "/fireflyspool/Config.Replace";
    site.order(&CONTROLS, replace, site.configuration(7, 1_500))
        .await;
    // A version that is not newer is acknowledged and changes nothing.
    site.order(&CONTROLS, replace, site.configuration(5, 900))
        .await;
    site.order(&CONTROLS, replace, site.configuration(7, 900))
        .await;
    assert_eq!(
        site.read_back(&CONTROLS).await,
        site.configuration(7, 1_500)
    );
    let invalid = site.configuration(9, 0);
    let url = format!("http://{}{replace}", site.control(2));
    let refused = site
        .http
        .post(url)
        .body(invalid)
        .send()
        .await
        .expect("an answer");
    assert_eq!(refused.status().as_u16(), 400);

    let servers = start_servers(&site, true).await;
    let mut caller = Caller::new();
    let entries = caller.resolve(&site, 2, 2).await;
    for entry in &entries {
        wait_until_complete(&mut caller, *entry).await;
    }
    let (mut complete, mut single) = (0, 0);
    for round in 0..150 {
        let entry = entries[round % entries.len()];
        complete += usize::from(caller.query_shards(entry).await == Some(0));
        single += usize::from(caller.send_single(entry).await == Some(200));
    }
    assert!(complete > 120, "{complete} of 150 queries were complete");
    assert!(single > 100, "{single} of 150 requests were answered");
    for server in servers.lock().await.iter() {
        if server.service() == SINGLE_SERVICE {
            let twice: Vec<_> = server
                .executions()
                .into_iter()
                .filter(|(_, n)| *n > 1)
                .collect();
            assert!(twice.is_empty(), "ran twice at one server: {twice:?}");
        }
    }
}

/// Guards against the loss of acknowledged state: one control VM restarts without
/// its disk, then all are killed at once; the configuration and the evacuation of a
/// zone stay in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn acknowledged_state_survives_a_lost_disk_and_a_restart_of_all() {
    let site = sync::Arc::new(Site::new(2));
    let (mut controls, _entries) = start_all(&site);
    let replace = "/fireflyspool/Config.Replace";
    site.order(&CONTROLS, replace, site.configuration(7, 1_500))
        .await;
    let servers = start_servers(&site, false).await;
    let mut caller = Caller::new();
    let entry = caller.resolve(&site, 1, 2).await[0];
    wait_until_complete(&mut caller, entry).await;

    controls.remove(0).kill();
    std::fs::remove_dir_all(site.data_folder(1)).expect("its data folder");
    controls.insert(0, site.start(1, "control", "a", false));
    site.order(&CONTROLS, replace, site.configuration(8, 1_600))
        .await;
    assert_eq!(site.read_back(&[1]).await, site.configuration(8, 1_600));

    site.order(&CONTROLS, "/fireflyspool/Evacuation.Start/b", String::new())
        .await;
    for control in controls.drain(..) {
        control.kill();
    }
    let zones = ["a", "b", "c", "a"];
    let restarted = CONTROLS.iter().zip(zones);
    controls.extend(restarted.map(|(vm, zone)| site.start(*vm, "control", zone, false)));
    assert_eq!(
        site.read_back(&CONTROLS).await,
        site.configuration(8, 1_600)
    );
    wait_until_complete(&mut caller, entry).await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let executions_in_b = async || {
        let servers = servers.lock().await;
        let in_zone = servers.iter().filter(|server| server.zone() == "b");
        in_zone.map(StandInServer::total).sum::<usize>()
    };
    let before = executions_in_b().await;
    for _ in 0..40 {
        caller.query_shards(entry).await;
    }
    assert_eq!(
        executions_in_b().await,
        before,
        "requests to an evacuated zone"
    );
}

/// Guards against requests to a server after its departure was acknowledged, and
/// against an entry VM that breaks requests or keeps callers when it stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_servers_get_no_requests_and_stopping_entry_vms_break_none() {
    let site = sync::Arc::new(Site::new(3));
    let (_controls, mut entries) = start_all(&site);
    let replace = "/fireflyspool/Config.Replace";
    site.order(&CONTROLS, replace, site.configuration(7, 1_500))
        .await;
    let servers = start_servers(&site, false).await;
    let mut caller = Caller::new();
    let listed = caller.resolve(&site, 1, 2).await;
    wait_until_complete(&mut caller, listed[0]).await;

    let mut draining = servers.lock().await.remove(0);
    draining.send_heartbeat(&site, &CONTROLS, "draining").await;
    tokio::time::sleep(time::Duration::from_millis(800)).await;
    let before = draining.total();
    for _ in 0..40 {
        caller.query_shards(listed[0]).await;
    }
    assert_eq!(
        draining.total(),
        before,
        "requests after the acknowledgement"
    );

    let stopping = entries.remove(0);
    let address = site.address(11, 1);
    stopping.terminate();
    let remaining = caller.resolve(&site, 2, 1).await;
    assert_ne!(
        remaining[0], address,
        "a stopping entry VM is still resolved"
    );
    let (_, answer) = caller.send(address, "/one/").await;
    let answer = answer.expect("a stopping entry VM still serves callers that resolved it before");
    assert_eq!(answer.headers()["connection"], "close");
    assert!(answer.bytes().await.is_ok());
    let code = stopping.wait(time::Duration::from_secs(8)).await;
    assert_eq!(
        code,
        Some(0),
        "the entry VM failed or broke a request while stopping"
    );
}

/// Guards against a process that the platform's SIGHUP or SIGTERM kills because it
/// is still starting; the SIGHUP for a changed settings file would end it too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_starting_process_handles_signals() {
    let site = Site::new(4);
    let control = site.start(1, "control", "a", true);
    let start = time::Instant::now();
    // The process creates the folder before any step that takes long.
    while !site.data_folder(1).exists() {
        assert!(
            start.elapsed() < platform_site::WAIT_LIMIT,
            "no data folder"
        );
        std::thread::sleep(time::Duration::from_micros(200));
    }
    control.signal(Signal::HUP);
    control.terminate();
    let code = control.wait(time::Duration::from_secs(8)).await;
    assert_eq!(code, Some(0));
}
