//! A control VM that is also a seed loses its disk while the site starts for the first time.

use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fs, thread};

use crate::searcher::{Arrivals, Plan, Run, Searcher};
use crate::site::{self, Failure, Site, Verdict};

/// `AckMs` of the settings.
const ACK: Duration = Duration::from_millis(5_000);
/// Time until the lost machine is back with an empty disk.
const AWAY: Duration = Duration::from_secs(2);
/// `ContactMs` and `CatchupS` of the settings one after the other, and 2 s more.
const SETTLED: Duration = Duration::from_secs(10);
/// Time for which the operator and a client try then.
const LENGTH: Duration = Duration::from_secs(40);

const MANIFEST: &str = r#"{"Version":1,"Routes":[{"Name":"one","Hostname":"h.example","PathPrefix":"/one/","RouteType":"idempotent","TimeoutMs":2000,"TargetLatencyMs":400,"Priority":1,"Backend":"desk","Attempts":2}],"Backends":[{"Name":"desk","HealthPath":"/health","MaxConnections":94,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn run(site: &Site) -> Result<Verdict, Failure> {
    let controls = [1, 2, 3, 4, 5];
    let zones = ["a", "b", "c", "a", "b"];
    let start = |vm: u8| site.start(vm, "control", zones[usize::from(vm) - 1], true);
    let processes: Vec<_> = controls.iter().map(|vm| start(*vm)).collect();
    let fronts = [(11, "a"), (12, "b")];
    for (vm, zone) in fronts {
        site.start(vm, "entry", zone, true);
    }
    thread::sleep(Duration::from_millis(100));
    if site.trouble {
        processes[2].end();
        site.record
            .line("control 3 has lost its power and its disk");
        fs::remove_dir_all(site.data(3)).map_err(|error| error.to_string())?;
        thread::sleep(AWAY);
        site.start(3, "control", "c", false);
    }
    let arrivals: Arrivals = Arc::default();
    let decide = Arc::new(|_: &str, _: &str, _: usize| Run::Answer(Duration::from_millis(20)));
    let searchers: Vec<_> = (0..3)
        .map(|number| {
            let plan = Plan {
                name: format!("desk{number}"),
                service: "desk".to_owned(),
                zone: ["a", "b", "c"][number].to_owned(),
                concurrency: 6,
                controls: controls.iter().map(|vm| site.control(*vm)).collect(),
                heartbeat: Duration::from_millis(1_200),
                bears_cold: usize::MAX,
            };
            Searcher::start(plan, decide.clone(), &arrivals, &site.record)
        })
        .collect();
    thread::sleep(SETTLED);
    site.record
        .line("all machines have run undisturbed for 10 s");
    let end = Instant::now() + LENGTH;
    let (mut confirmed, mut served, mut number) = (false, 0, 0);
    while Instant::now() < end && (!confirmed || served < 20) {
        if !confirmed {
            let order = ("POST", "/fireflyspool/Config.Replace");
            let answer = site.order(&controls, order, MANIFEST, ACK);
            confirmed = answer.is_some_and(|(status, _)| status == 200);
            site.record.line(format!(
                "the manifest is confirmed within AckMs: {confirmed}"
            ));
        }
        // A client asks the directory of each zone, and sends what it can.
        let named: Vec<_> = [1, 2, 3]
            .iter()
            .flat_map(|vm| site.resolve(*vm, "a"))
            .collect();
        number += 1;
        let id = format!("{number:016x}");
        let headers = [
            ("Host", "h.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "2000"),
        ];
        // Without an address from the directory, one that an earlier answer may have named.
        let front = named
            .first()
            .copied()
            .unwrap_or(site.front(fronts[number % 2].0));
        let answer = site::request(
            front,
            "GET",
            "/one/file",
            &headers,
            b"",
            Duration::from_secs(2),
        );
        let text = answer.map_or_else(|error| error, |answer| answer.status.to_string());
        served += usize::from(text == "200");
        site.record.line(format!(
            "client: {} addresses from the directory; request {id}: {text}",
            named.len()
        ));
        thread::sleep(Duration::from_millis(200));
    }
    for searcher in &searchers {
        searcher.stop();
    }
    site.record.line(format!(
        "manifest confirmed: {confirmed}; {served} of {number} requests served"
    ));
    Ok(match served {
        0 => Verdict::Broken,
        _ => Verdict::Held,
    })
}
