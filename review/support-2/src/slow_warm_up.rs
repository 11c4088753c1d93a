//! A searcher comes back cold, and its warm-up takes longer than it first says.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::searcher::{Arrivals, NextName, Plan, Run, Searcher};
use crate::site::{self, Failure, Site, Verdict};

/// `WarmupPerS` of the service, and the bounds of the settings.
const PER_SECOND: f64 = 2.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time for which the searcher is down, and time of its warm-up as it first states it.
const DOWN: Duration = Duration::from_millis(2_500);
const STATED: Duration = Duration::from_secs(3);
/// Part of each second of the warm-up that goes off what the searcher states.
const PACE: f64 = 0.7;

const MANIFEST: &str = r#"{"Version":1,"Routes":[{"Name":"one","Hostname":"h.example","PathPrefix":"/one/","RouteType":"idempotent","TimeoutMs":6000,"TargetLatencyMs":400,"Priority":1,"Backend":"desk","Attempts":2}],"Backends":[{"Name":"desk","HealthPath":"/health","MaxConnections":214,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":2.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn run(site: &Site) -> Result<Verdict, Failure> {
    let controls = [1, 2, 3];
    for (vm, zone) in [(1, "a"), (2, "b"), (3, "c")] {
        site.start(vm, "control", zone, true);
    }
    for (vm, zone) in [(11, "a"), (12, "a"), (13, "b")] {
        site.start(vm, "entry", zone, true);
    }
    let order = ("POST", "/fireflyspool/Config.Replace");
    let answer = site.order(&controls, order, MANIFEST, Duration::from_secs(20));
    if answer.is_none_or(|(status, _)| status != 200) {
        return Err("the first manifest is not confirmed".to_owned());
    }
    let arrivals: Arrivals = Arc::default();
    let decide = Arc::new(|_: &str, _: &str, _: usize| Run::Answer(Duration::from_millis(11)));
    let searchers: Vec<_> = ["a", "b", "c"]
        .into_iter()
        .enumerate()
        .map(|(number, zone)| {
            let plan = Plan {
                name: format!("desk{number}"),
                service: "desk".to_owned(),
                zone: zone.to_owned(),
                concurrency: 6,
                controls: controls.iter().map(|vm| site.control(*vm)).collect(),
                heartbeat: Duration::from_millis(1_200),
                bears_cold: 16,
            };
            Searcher::start(plan, decide.clone(), &arrivals, &site.record)
        })
        .collect();
    site.await_directory(1, "a", 2)?;
    thread::sleep(Duration::from_secs(6));
    let end = Instant::now() + Duration::from_secs(14);
    let counts = Arc::new(Mutex::new(BTreeMap::new()));
    let clients: Vec<_> = (0..12)
        .map(|number| client(site, number, end, &counts))
        .collect();
    thread::sleep(Duration::from_secs(3));
    let pace = if site.trouble { PACE } else { 1.0 };
    searchers[0].set_pace(pace);
    searchers[0].restart(DOWN, STATED.div_f64(pace), NextName::Same);
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

/// Sends a request every 200 ms, each on a new connection to an entry VM.
fn client(
    site: &Site,
    number: usize,
    end: Instant,
    counts: &Arc<Mutex<BTreeMap<String, usize>>>,
) -> thread::JoinHandle<()> {
    let (front, counts) = (site.front(11 + (number % 3) as u8), Arc::clone(counts));
    thread::spawn(move || {
        let mut sent = 0;
        thread::sleep(Duration::from_millis(17 * number as u64));
        while Instant::now() < end {
            sent += 1;
            let id = format!("{number:03x}-{sent:04x}");
            let headers = [
                ("Host", "h.example"),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", "6000"),
            ];
            let answer = site::request(
                front,
                "GET",
                "/one/file",
                &headers,
                b"",
                Duration::from_secs(6),
            );
            let text = answer.map_or_else(|error| error, |answer| answer.status.to_string());
            *counts.lock().unwrap().entry(text).or_default() += 1;
            thread::sleep(Duration::from_millis(200));
        }
    })
}
