//! An entry VM stands still while the searchers of its zone are down and come back cold.

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::searcher::{Arrivals, NextName, Plan, Run, Searcher};
use crate::site::{self, Failure, SIGCONT, SIGSTOP, Site, Verdict};

/// `WarmupPerS` of the service, and the bounds of the settings.
const PER_SECOND: f64 = 2.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Requests in one second above which a cold searcher crashes, well above what it bears.
const CRASHES_ABOVE: usize = 16;
/// Time for which the entry VM stands still, and for which the searchers are down and cold.
const FREEZE: Duration = Duration::from_millis(3_500);
const DOWN: Duration = Duration::from_millis(2_500);
const COLD: Duration = Duration::from_secs(3);
/// Clients that keep a connection to the entry VM.
const CLIENTS: usize = 60;

const MANIFEST: &str = r#"{"Version":1,"Routes":[{"Name":"one","Hostname":"h.example","PathPrefix":"/one/","RouteType":"non_idempotent","TimeoutMs":6000,"TargetLatencyMs":400,"Priority":1,"Backend":"desk","Attempts":2}],"Backends":[{"Name":"desk","HealthPath":"/health","MaxConnections":214,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":2.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn run(site: &Site) -> Result<Verdict, Failure> {
    let controls = [1, 2, 3];
    for (vm, zone) in [(1, "a"), (2, "b"), (3, "c")] {
        site.start(vm, "control", zone, true);
    }
    let entry = site.start(11, "entry", "a", true);
    site.start(12, "entry", "b", true);
    let order = ("POST", "/fireflyspool/Config.Replace");
    let answer = site.order(&controls, order, MANIFEST, Duration::from_secs(20));
    if answer.is_none_or(|(status, _)| status != 200) {
        return Err("the first manifest is not confirmed".to_owned());
    }
    let arrivals: Arrivals = Arc::default();
    let decide = Arc::new(|_: &str, _: &str, _: usize| Run::Answer(Duration::from_millis(11)));
    let searchers: Vec<_> = (0..7)
        .map(|number| {
            let zone = ["a", "a", "a", "b", "b", "c", "c"][number];
            let plan = Plan {
                name: format!("desk{number}"),
                service: "desk".to_owned(),
                zone: zone.to_owned(),
                concurrency: 6,
                controls: controls.iter().map(|vm| site.control(*vm)).collect(),
                heartbeat: Duration::from_millis(1_200),
                bears_cold: CRASHES_ABOVE,
            };
            Searcher::start(plan, decide.clone(), &arrivals, &site.record)
        })
        .collect();
    site.await_directory(1, "a", 1)?;
    thread::sleep(Duration::from_secs(6));
    let end = Instant::now() + Duration::from_secs(14);
    let counts = Arc::new(Mutex::new(std::collections::BTreeMap::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| client(site, number, end, &counts))
        .collect();
    thread::sleep(Duration::from_secs(6));
    if site.trouble {
        entry.signal(SIGSTOP);
        site.record.line("entry 11 stands still");
    }
    let frozen = Instant::now();
    thread::sleep(Duration::from_millis(200));
    for searcher in &searchers[..3] {
        searcher.restart(DOWN, COLD, NextName::Same);
    }
    thread::sleep(FREEZE.saturating_sub(frozen.elapsed()));
    if site.trouble {
        entry.signal(SIGCONT);
        site.record.line("entry 11 wakes");
    }
    for client in clients {
        let _ = client.join();
    }
    for searcher in &searchers {
        searcher.stop();
    }
    site.record
        .line(format!("answers: {:?}", counts.lock().unwrap()));
    let bound = PER_SECOND * OVERSHOOT + SLACK;
    Ok(match site::exceeds_while_cold(site, &arrivals, bound) {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends one request after another on a kept connection, each with a deadline of 6 s.
fn client(
    site: &Site,
    number: usize,
    end: Instant,
    counts: &Arc<Mutex<std::collections::BTreeMap<String, usize>>>,
) -> thread::JoinHandle<()> {
    let (front, counts) = (site.front(11), Arc::clone(counts));
    thread::spawn(move || {
        let mut kept: Option<(TcpStream, Vec<u8>)> = None;
        let mut sent = 0;
        thread::sleep(Duration::from_millis(50 * number as u64));
        while Instant::now() < end {
            sent += 1;
            let id = format!("{number:03x}-{sent:04x}");
            let headers = [
                ("Host", "h.example"),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", "6000"),
            ];
            let open = || TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok();
            let Some((stream, mut buffer)) = kept.take().or_else(|| Some((open()?, Vec::new())))
            else {
                thread::sleep(Duration::from_millis(500));
                continue;
            };
            let sending = site::send(&stream, front, "POST", "/one/claim", &headers, b"a claim");
            let limit = Instant::now() + Duration::from_secs(6);
            let answer = sending
                .map_err(|error| error.to_string())
                .and_then(|()| site::receive(&stream, &mut buffer, limit));
            let text = match &answer {
                Ok(answer) => answer.status.to_string(),
                Err(error) => error.clone(),
            };
            *counts.lock().unwrap().entry(text).or_default() += 1;
            if let Ok(answer) = answer
                && answer
                    .header("connection")
                    .is_none_or(|value| value != "close")
            {
                kept = Some((stream, buffer));
            }
            thread::sleep(Duration::from_secs(3));
        }
    })
}
