//! Departures that were acknowledged before all processes were killed, with real processes.

mod platform_site;

use std::time;

use platform_site::{Caller, Process, SINGLE_SERVICE, Site, StandInServer, WAIT_LIMIT};

const CONTROLS: [u8; 3] = [1, 2, 3];
const ENTRY: u8 = 11;

/// Requests sent after the delayed heartbeat has arrived, and the pause after each; together far
/// longer than a change takes to reach the entry VM.
const REQUESTS: usize = 60;
const SPACING: time::Duration = time::Duration::from_millis(30);

/// How a server tells that it leaves, and what follows.
struct Case {
    deregisters: bool,
    /// How often all processes are killed.
    kills: usize,
    /// Whether the control VM that acknowledged the departure loses its disk at the first kill.
    wipes: bool,
    /// Control VM that the delayed heartbeat reaches.
    late_at: u8,
}

fn start_all(site: &Site, bootstrap: bool) -> Vec<Process> {
    let zones = CONTROLS.iter().zip(["a", "b", "c"]);
    let controls = zones.map(|(vm, zone)| site.start(*vm, "control", zone, bootstrap));
    let mut processes: Vec<_> = controls.collect();
    processes.push(site.start(ENTRY, "entry", "a", bootstrap));
    processes
}

/// Requests sent until one succeeds; the staying server reports meanwhile.
async fn await_service(site: &Site, caller: &mut Caller, staying: &mut StandInServer) {
    let start = time::Instant::now();
    while caller.send_single(site.address(ENTRY, 1)).await != Some(200) {
        assert!(start.elapsed() < WAIT_LIMIT, "no answer");
        staying.send_heartbeat(site, &CONTROLS, "ready").await;
        tokio::time::sleep(SPACING).await;
    }
}

/// Number of requests that reach a server after its acknowledged departure.
async fn play(network: u8, case: &Case) -> usize {
    let site = Site::new(network);
    let mut processes = start_all(&site, true);
    let configuration = site.configuration(7, 1_500);
    site.order(&CONTROLS, "/fireflyspool/Config.Replace", configuration)
        .await;
    let mut staying = StandInServer::start(SINGLE_SERVICE, 0, "a", false).await;
    let mut leaving = StandInServer::start(SINGLE_SERVICE, 1, "a", false).await;
    leaving.send_heartbeat(&site, &CONTROLS, "ready").await;
    let mut caller = Caller::new();
    let start = time::Instant::now();
    while leaving.total() == 0 {
        assert!(start.elapsed() < WAIT_LIMIT, "the server gets no request");
        leaving.send_heartbeat(&site, &CONTROLS, "ready").await;
        await_service(&site, &mut caller, &mut staying).await;
    }

    let late = leaving.delayed_heartbeat("ready");
    let acknowledging = site.control(1);
    let start = time::Instant::now();
    loop {
        let acknowledged = match case.deregisters {
            true => leaving.deregister(&site.http, acknowledging).await,
            false => {
                let sent = leaving.send_heartbeat_once(&site.http, acknowledging, "draining", 0);
                sent.await
            }
        };
        if acknowledged {
            break;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "not acknowledged");
    }
    for kill in 0..case.kills {
        processes.drain(..).for_each(Process::kill);
        if case.wipes && kill == 0 {
            std::fs::remove_dir_all(site.data_folder(1)).expect("the folder of a process");
        }
        processes = start_all(&site, false);
        // The control VMs are killed again while they elect a leader or catch up.
        tokio::time::sleep(SPACING * 10).await;
    }
    let start = time::Instant::now();
    let late_at = site.control(case.late_at);
    while !leaving.deliver(&site.http, late_at, late.clone()).await {
        assert!(start.elapsed() < WAIT_LIMIT, "the late heartbeat is lost");
        tokio::time::sleep(SPACING).await;
    }
    await_service(&site, &mut caller, &mut staying).await;
    let (before, staying_before) = (leaving.total(), staying.total());
    for _ in 0..REQUESTS {
        staying.send_heartbeat(&site, &CONTROLS, "ready").await;
        caller.send_single(site.address(ENTRY, 1)).await;
        tokio::time::sleep(SPACING).await;
    }
    assert!(staying.total() > staying_before, "requests are served");
    leaving.total() - before
}

/// Guards against acknowledgements of departures that only memory holds: a heartbeat that a
/// server sent before it left brought it back after all processes had been killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_late_heartbeat_brings_no_server_back_after_all_processes_were_killed() {
    let cases = [
        (true, 1, false, 2),
        (false, 1, false, 1),
        (true, 2, false, 3),
        (false, 2, true, 1),
        (true, 1, true, 3),
    ];
    for (network, (deregisters, kills, wipes, late_at)) in (111..).zip(cases) {
        let case = Case {
            deregisters,
            kills,
            wipes,
            late_at,
        };
        let late = play(network, &case).await;
        let named = format!("deregisters {deregisters}, kills {kills}, wipes {wipes}");
        assert_eq!(
            late, 0,
            "requests after the departure; {named}, late at {late_at}"
        );
    }
}
