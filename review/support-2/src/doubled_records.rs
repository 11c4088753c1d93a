//! Queries over six shards of another zone: a searcher crashes under each, and some are full.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::searcher::{self, Arrivals, Plan, Run, Searcher};
use crate::site::{self, Answer, Failure, Site, Verdict};

const SHARDS: [&str; 6] = ["s0", "s1", "s2", "s3", "s4", "s5"];
/// Queries of the kind that meets the disruption, and pause after each, in which the searcher
/// that crashed comes back.
const QUERIES: usize = 18;
const PAUSE: Duration = Duration::from_millis(3_500);
const DOWN: Duration = Duration::from_millis(2_500);
/// Records that the answer holds: all of them.
const TOP: usize = 50;

fn manifest() -> String {
    let service = |name: &&str| {
        format!(
            r#"{{"Name":"{name}","HealthPath":"/health","MaxConnections":56,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":0.0}}"#
        )
    };
    let services: Vec<_> = SHARDS.iter().map(service).collect();
    let gather: Vec<_> = SHARDS.iter().map(|name| format!("\"{name}\"")).collect();
    format!(
        r#"{{"Version":1,"Routes":[{{"Name":"all","Hostname":"h.example","PathPrefix":"/all/","RouteType":"idempotent","TimeoutMs":2000,"TargetLatencyMs":400,"Priority":1,"Gather":[{}],"Attempts":2,"TopK":{TOP},"MinCoverage":0.5}}],"Backends":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        gather.join(","),
        services.join(",")
    )
}

/// Share of the first arrivals that five of the six shards reject, in percent.
const REJECTED: u64 = 40;

/// Number from `low` to `high` that depends on what it is for.
fn drawn(purpose: &str, low: u64, high: u64) -> u64 {
    let record = searcher::records("drawn", purpose)[0];
    let number = u64::from_be_bytes(record[..8].try_into().unwrap()) >> 16;
    low + number % (high - low + 1)
}

/// What an arrival of a query meets; drawn by query, shard and number of the arrival.
fn decide(trouble: bool, service: &str, path: &str, earlier: usize) -> Run {
    let after = Duration::from_millis;
    let draw =
        |what: &str, low, high| drawn(&format!("{path} {service} {earlier} {what}"), low, high);
    if !path.starts_with("/all/long") {
        return Run::Answer(after(11));
    }
    if earlier > 0 {
        return Run::Answer(after(draw("again", 70, 120)));
    }
    if service == "s1" {
        return match trouble {
            true => Run::Crash(after(draw("crash", 40, 90)), DOWN),
            false => Run::Answer(after(draw("work", 125, 170))),
        };
    }
    match service != "s5" && draw("rejects", 1, 100) <= REJECTED {
        true => Run::Reject(after(draw("full", 20, 100))),
        false => Run::Answer(after(draw("work", 125, 170))),
    }
}

pub fn run(site: &Site) -> Result<Verdict, Failure> {
    let controls = [1, 2, 3];
    for (vm, zone) in [(1, "a"), (2, "b"), (3, "c")] {
        site.start(vm, "control", zone, true);
    }
    for (vm, zone) in [(11, "a"), (12, "b")] {
        site.start(vm, "entry", zone, true);
    }
    let order = ("POST", "/fireflyspool/Config.Replace");
    let answer = site.order(&controls, order, &manifest(), Duration::from_secs(20));
    if answer.is_none_or(|(status, _)| status != 200) {
        return Err("the first manifest is not confirmed".to_owned());
    }
    let arrivals: Arrivals = Arc::default();
    let trouble = site.trouble;
    let decide = Arc::new(move |service: &str, path: &str, earlier: usize| {
        decide(trouble, service, path, earlier)
    });
    let mut searchers = Vec::new();
    for service in SHARDS {
        for copy in ["x", "y"] {
            let plan = Plan {
                name: format!("{service}{copy}"),
                service: service.to_owned(),
                zone: "b".to_owned(),
                concurrency: 2,
                controls: controls.iter().map(|vm| site.control(*vm)).collect(),
                heartbeat: Duration::from_millis(1_200),
                bears_cold: usize::MAX,
            };
            searchers.push(Searcher::start(
                plan,
                decide.clone(),
                &arrivals,
                &site.record,
            ));
        }
    }
    site.await_directory(1, "a", 1)?;
    thread::sleep(Duration::from_secs(6));
    let mut wrong = 0;
    for number in 0..QUERIES {
        for warm in 0..5 {
            wrong += usize::from(!ask(site, &format!("w{number}-{warm}"), "/all/usual"));
        }
        wrong += usize::from(!ask(
            site,
            &format!("q{number}"),
            &format!("/all/long-{number}"),
        ));
        thread::sleep(PAUSE);
    }
    for searcher in &searchers {
        searcher.stop();
    }
    site.record.line(format!("{wrong} wrong answers"));
    Ok(match wrong {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Sends a query to the entry VM of zone a; returns whether its answer is true or a failure.
fn ask(site: &Site, id: &str, path: &str) -> bool {
    let headers = [
        ("Host", "h.example"),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "2000"),
    ];
    let answer = site::request(
        site.front(11),
        "GET",
        path,
        &headers,
        b"",
        Duration::from_secs(2),
    );
    let Ok(answer) = answer else {
        site.record.line(format!("client: query {id}: no answer"));
        return true;
    };
    let fault = (answer.status == 200)
        .then(|| fault_of(&answer, id))
        .flatten();
    let text = fault.as_deref().unwrap_or("true");
    site.record
        .line(format!("client: query {id}: {}, {text}", answer.status));
    fault.is_none()
}

/// What is wrong with a success, by the rule of MIXED for queries over many shards.
fn fault_of(answer: &Answer, id: &str) -> Option<String> {
    let stamps = answer.header("x-part-stamps").unwrap_or_default();
    let missing = answer
        .header("x-missing-parts")
        .map_or(Ok(0), |text| text.parse::<usize>());
    let missing = missing.unwrap_or(usize::MAX);
    let mut parts: Vec<_> = stamps
        .split(", ")
        .filter_map(|stamp| stamp.split('.').next())
        .collect();
    let named = parts.len();
    parts.sort_unstable();
    parts.dedup();
    if parts.len() != named || named + missing != SHARDS.len() {
        return Some(format!("{named} parts, {missing} missing"));
    }
    let mut expected: Vec<_> = parts
        .iter()
        .flat_map(|part| searcher::records(part, id))
        .collect();
    expected.sort_unstable_by(|a, b| b.cmp(a));
    expected.truncate(TOP);
    let body = &answer.body;
    (*body != expected.concat()).then(|| {
        format!(
            "WRONG: {} records, but the {named} parts named ({missing} missing) have {}: {stamps}",
            body.len() / 16,
            expected.len()
        )
    })
}
