//! A request that crashes each searcher that runs it, and a caller that leaves before that.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::searcher::{Arrivals, Plan, Run, Searcher};
use crate::site::{self, Failure, Site, Verdict};

/// `ContactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Retries that the rule allows later than that after the third crash.
const ALLOWED: usize = 3;
/// Time for which the caller sends its request again.
const LENGTH: Duration = Duration::from_secs(40);
/// Time after which the caller leaves, and time between two of its requests.
const PATIENCE: Duration = Duration::from_millis(50);
const PAUSE: Duration = Duration::from_secs(1);
/// Time from the start of a run to the crash, and time for which the searcher is down.
const CRASH: Duration = Duration::from_millis(60);
const DOWN: Duration = Duration::from_secs(4);
const PATH: &str = "/one/poison";

const MANIFEST: &str = r#"{"Version":1,"Routes":[{"Name":"one","Hostname":"h.example","PathPrefix":"/one/","RouteType":"idempotent","TimeoutMs":800,"TargetLatencyMs":100,"Priority":1,"Backend":"desk","Attempts":2}],"Backends":[{"Name":"desk","HealthPath":"/health","MaxConnections":94,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn run(site: &Site) -> Result<Verdict, Failure> {
    let controls = [1, 2, 3];
    for (vm, zone) in [(1, "a"), (2, "b"), (3, "c")] {
        site.start(vm, "control", zone, true);
    }
    for (vm, zone) in [(11, "a"), (12, "b")] {
        site.start(vm, "entry", zone, true);
    }
    let order = ("POST", "/fireflyspool/Config.Replace");
    let answer = site.order(&controls, order, MANIFEST, Duration::from_secs(20));
    if answer.is_none_or(|(status, _)| status != 200) {
        return Err("the first manifest is not confirmed".to_owned());
    }
    let arrivals: Arrivals = Arc::default();
    let trouble = site.trouble;
    let decide = Arc::new(
        move |_: &str, path: &str, _: usize| match trouble && path == PATH {
            true => Run::Crash(CRASH, DOWN),
            false => Run::Answer(Duration::from_millis(20)),
        },
    );
    let searchers: Vec<_> = (0..7)
        .map(|number| {
            let plan = Plan {
                name: format!("desk{number}"),
                service: "desk".to_owned(),
                zone: ["a", "b", "c"][number % 3].to_owned(),
                concurrency: 6,
                controls: controls.iter().map(|vm| site.control(*vm)).collect(),
                heartbeat: Duration::from_millis(1_200),
                bears_cold: usize::MAX,
            };
            Searcher::start(plan, decide.clone(), &arrivals, &site.record)
        })
        .collect();
    site.await_directory(1, "a", 1)?;
    // All machines are in touch before the first request.
    thread::sleep(Duration::from_secs(6));
    let served = Arc::new(Mutex::new(BTreeMap::new()));
    let end = Instant::now() + LENGTH;
    let others: Vec<_> = [11, 12].map(|vm| ordinary(site, vm, end, &served)).into();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let front = site.front(11 + (number % 2) as u8);
        let (id, deadline) = (format!("{number:016x}"), "800");
        let headers = [
            ("Host", "h.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", deadline),
        ];
        let sent = Instant::now();
        // The connection is closed when the caller stops waiting.
        let answer = site::request(front, "GET", PATH, &headers, b"", PATIENCE);
        let text = answer.map_or_else(|error| error, |answer| answer.status.to_string());
        site.record
            .line(format!("caller: request {id} {PATH}: {text}"));
        thread::sleep(PAUSE.saturating_sub(sent.elapsed()));
    }
    for other in others {
        let _ = other.join();
    }
    for searcher in &searchers {
        searcher.stop();
    }
    site.record.line(format!(
        "ordinary requests by answer: {:?}",
        served.lock().unwrap()
    ));
    Ok(judge(site, &arrivals))
}

/// Sends ordinary requests of the same route to an entry VM.
fn ordinary(
    site: &Site,
    vm: u8,
    end: Instant,
    served: &Arc<Mutex<BTreeMap<String, usize>>>,
) -> thread::JoinHandle<()> {
    let (front, served) = (site.front(vm), Arc::clone(served));
    thread::spawn(move || {
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let (id, path) = (
                format!("{vm}-{number}"),
                format!("/one/ordinary-{vm}-{number}"),
            );
            let headers = [
                ("Host", "h.example"),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", "800"),
            ];
            let answer = site::request(
                front,
                "GET",
                &path,
                &headers,
                b"",
                Duration::from_millis(800),
            );
            let text = answer.map_or("none".to_owned(), |answer| answer.status.to_string());
            *served.lock().unwrap().entry(text).or_default() += 1;
            thread::sleep(Duration::from_millis(100));
        }
    })
}

fn judge(site: &Site, arrivals: &Arrivals) -> Verdict {
    let arrivals = arrivals.lock().unwrap();
    let runs: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.path == PATH && arrival.ran)
        .collect();
    if !site.trouble {
        site.record.line(format!(
            "{} runs, none of which crashed a searcher",
            runs.len()
        ));
        return Verdict::Held;
    }
    let Some(third) = runs.get(2).map(|arrival| arrival.at) else {
        site.record.line("fewer than three crashes");
        return Verdict::Held;
    };
    let mut late: Vec<_> = runs
        .iter()
        .filter(|arrival| arrival.at > third + CONTACT)
        .map(|arrival| &arrival.id)
        .collect();
    late.dedup();
    site.record.line(format!(
        "{} searchers crashed; {} retries of the request reached searchers later than {CONTACT:?} \
         after the third crash, {ALLOWED} are allowed",
        runs.len(),
        late.len()
    ));
    match late.len() > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
