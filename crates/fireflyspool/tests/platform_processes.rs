//! The whole path as real processes, without the users' bench.

mod platform_site;

use std::{sync, time};

use platform_site::{Caller, DESK, Process, SHARDS, Searcher, Site};
use rustix::process::Signal;
use tokio::sync::Mutex;

type Searchers = sync::Arc<Mutex<Vec<Searcher>>>;

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
async fn start_searchers(site: &sync::Arc<Site>, trouble: bool) -> Searchers {
    let mut searchers = Vec::new();
    for service in SHARDS.iter().chain([&DESK]) {
        for (number, zone) in ["a", "b"].into_iter().enumerate() {
            searchers.push(Searcher::start(service, number, zone, trouble).await);
        }
    }
    let searchers = sync::Arc::new(Mutex::new(searchers));
    let (beating, site) = (sync::Arc::clone(&searchers), sync::Arc::clone(site));
    tokio::spawn(async move {
        loop {
            for searcher in beating.lock().await.iter_mut() {
                searcher.beat(&site, &CONTROLS, "ready").await;
            }
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
    });
    searchers
}

async fn until_whole(caller: &mut Caller, entry: std::net::SocketAddr) {
    let start = time::Instant::now();
    while caller.gather(entry).await != Some(0) || caller.fetch(entry).await != Some(200) {
        assert!(start.elapsed() < platform_site::PATIENCE, "no whole answer");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Guards against a path that does not work end to end: formation from seeds, an
/// acknowledged configuration, answers whose parts, records and ids fit although
/// servers pause, refuse, reset and send answers that belong to no request, and a
/// non-idempotent request that runs twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_get_their_own_whole_answers() {
    let site = sync::Arc::new(Site::new(1));
    let (_controls, _entries) = start_all(&site);
    let replace = "/fireflyspool/Config.Replace";
    site.order(&CONTROLS, replace, site.configuration(7, 1_500))
        .await;
    // An overtaken version is acknowledged and changes nothing.
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

    let searchers = start_searchers(&site, true).await;
    let mut caller = Caller::new();
    let entries = caller.resolve(&site, 2, 2).await;
    for entry in &entries {
        until_whole(&mut caller, *entry).await;
    }
    let (mut whole, mut single) = (0, 0);
    for round in 0..150 {
        let entry = entries[round % entries.len()];
        whole += usize::from(caller.gather(entry).await == Some(0));
        single += usize::from(caller.fetch(entry).await == Some(200));
    }
    assert!(whole > 120, "{whole} of 150 queries were whole");
    assert!(single > 100, "{single} of 150 requests were answered");
    for searcher in searchers.lock().await.iter() {
        if searcher.service() == DESK {
            let twice: Vec<_> = searcher.ran().into_iter().filter(|(_, n)| *n > 1).collect();
            assert!(twice.is_empty(), "ran twice at one server: {twice:?}");
        }
    }
}

/// Guards against acknowledged state that is lost: one control VM comes back
/// without its disk, then all are killed at once; the configuration and a zone
/// taken out stay in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn acknowledged_state_survives_a_lost_disk_and_a_restart_of_all() {
    let site = sync::Arc::new(Site::new(2));
    let (mut controls, _entries) = start_all(&site);
    let replace = "/fireflyspool/Config.Replace";
    site.order(&CONTROLS, replace, site.configuration(7, 1_500))
        .await;
    let searchers = start_searchers(&site, false).await;
    let mut caller = Caller::new();
    let entry = caller.resolve(&site, 1, 2).await[0];
    until_whole(&mut caller, entry).await;

    controls.remove(0).kill();
    std::fs::remove_dir_all(site.data(1)).expect("its data folder");
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
    until_whole(&mut caller, entry).await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let in_b = async || {
        let searchers = searchers.lock().await;
        let out = searchers.iter().filter(|searcher| searcher.zone() == "b");
        out.map(Searcher::total).sum::<usize>()
    };
    let before = in_b().await;
    for _ in 0..40 {
        caller.gather(entry).await;
    }
    assert_eq!(in_b().await, before, "requests to a zone taken out");
}

/// Guards against requests to a server after its departure was acknowledged, and
/// against an entry VM that cuts requests or keeps callers when it stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_servers_and_stopping_entry_vms_are_spared() {
    let site = sync::Arc::new(Site::new(3));
    let (_controls, mut entries) = start_all(&site);
    let replace = "/fireflyspool/Config.Replace";
    site.order(&CONTROLS, replace, site.configuration(7, 1_500))
        .await;
    let searchers = start_searchers(&site, false).await;
    let mut caller = Caller::new();
    let listed = caller.resolve(&site, 1, 2).await;
    until_whole(&mut caller, listed[0]).await;

    let mut leaving = searchers.lock().await.remove(0);
    leaving.beat(&site, &CONTROLS, "draining").await;
    tokio::time::sleep(time::Duration::from_millis(800)).await;
    let before = leaving.total();
    for _ in 0..40 {
        caller.gather(listed[0]).await;
    }
    assert_eq!(
        leaving.total(),
        before,
        "requests after the acknowledgement"
    );

    let stopping = entries.remove(0);
    let address = site.at(11, 1);
    stopping.terminate();
    let left = caller.resolve(&site, 2, 1).await;
    assert_ne!(left[0], address, "a stopping entry VM is still named");
    let (_, answer) = caller.send(address, "/one/").await;
    let answer = answer.expect("it still serves callers with an old answer");
    assert_eq!(answer.headers()["connection"], "close");
    assert!(answer.bytes().await.is_ok());
    let code = stopping.wait(time::Duration::from_secs(8)).await;
    assert_eq!(code, Some(0), "no request was cut");
}

/// Guards against a process that is killed by the signals of the platform because
/// it is still starting; a changed settings file would end it too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_that_is_starting_takes_signals() {
    let site = Site::new(4);
    let control = site.start(1, "control", "a", true);
    let start = time::Instant::now();
    // The folder is made before anything that takes time.
    while !site.data(1).exists() {
        assert!(start.elapsed() < platform_site::PATIENCE, "no data folder");
        std::thread::sleep(time::Duration::from_micros(200));
    }
    control.signal(Signal::HUP);
    control.terminate();
    let code = control.wait(time::Duration::from_secs(8)).await;
    assert_eq!(code, Some(0));
}
