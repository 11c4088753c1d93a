//! Whole load runs against an entry VM of the tests.

mod support;

use std::{sync::atomic, time};

use fireflyspool::{backend, outcome};
use fireflyspool_bench::load;

fn template() -> load::Template {
    load::Template {
        name: "check".to_owned(),
        weight: 1.0,
        service: "intake-desk".to_owned(),
        collection: Some("dossiers".to_owned()),
        kind: outcome::Kind::Urgent,
        deadline: time::Duration::from_millis(500),
        coverage: outcome::RequiredCoverage::Full,
        version: None,
        limit: 10,
        texts: 50,
        prefix: String::new(),
    }
}

fn settings(port: u16) -> load::Settings {
    let snapshot = outcome::Snapshot {
        collection: "dossiers".to_owned(),
        version: 1,
    };
    load::Settings {
        seed_addresses: vec![([127, 0, 0, 1], port).into()],
        duration: time::Duration::from_secs(2),
        rate: 100.0,
        requests: vec![template()],
        versions: vec![(snapshot, 3)],
        callers: 2,
        ..load::Settings::default()
    }
}

async fn run(settings: load::Settings) -> load::Report {
    let report = load::run(settings, Vec::new(), Vec::new(), Vec::new());
    report.await.expect("run")
}

/// Guards against coordinated omission: a stall of 1 s must show in about half of the requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stall_counts_for_every_request_intended_in_it() {
    let second = time::Duration::from_secs(1);
    let stall = Some((
        time::Duration::from_millis(700),
        time::Duration::from_millis(1_700),
    ));
    let entry = support::entry::start(support::entry::Lie::None, stall).await;
    let report = run(settings(entry.port)).await;
    let urgent = &report.kinds[0];
    assert!(report.intended > 150, "{report:?}");
    assert_eq!(urgent.answered.count, report.intended);
    assert!(urgent.answered.max_ms > 0.8 * second.as_secs_f64() * 1e3);
    // Requests intended in the first half of the stall end after their deadline of 500 ms.
    assert!(urgent.late * 8 > report.intended, "{urgent:?}");
    assert!(urgent.answered.p99_ms > 700.0, "{urgent:?}");
    assert_eq!(report.wrong, 0, "{:?}", report.faults);
}

/// Guards against latency that is counted from the actual sending of a delayed request.
#[tokio::test]
async fn latency_counts_from_the_intended_start() {
    let entry = support::entry::start(support::entry::Lie::None, None).await;
    let settings = settings(entry.port);
    let caller = load::Caller::new(&settings).expect("caller");
    let delay = time::Duration::from_millis(300);
    let intended = time::Instant::now().checked_sub(delay).expect("time");
    let request = load::Request::new(&template(), 1, 0, delay, delay);
    let sample = caller.send(request, intended, 0).await;
    assert!(sample.ending.is_answer(), "{:?}", sample.ending);
    assert!(sample.latency >= delay);
}

/// Guards against an address cache that asks for every request, and a baseline that asks at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn addresses_are_kept_for_their_lifetime_and_ignored_by_the_baseline() {
    let entry = support::entry::start(support::entry::Lie::None, None).await;
    let report = run(settings(entry.port)).await;
    assert_eq!(report.kinds[0].in_time, report.intended, "{report:?}");
    let asked = entry.asked.load(atomic::Ordering::Relaxed);
    // Two callers ask about every 700 ms for 2 s.
    assert!((4..=8).contains(&asked), "asked {asked} times");
    let baseline = load::Settings {
        baseline: true,
        ..settings(entry.port)
    };
    let report = run(baseline).await;
    assert_eq!(report.kinds[0].in_time, report.intended);
    assert_eq!(entry.asked.load(atomic::Ordering::Relaxed), asked);
}

/// Guards against wrong answers that pass as right ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lies_of_the_tier_are_reported() {
    for lie in [
        support::entry::Lie::MixedVersion,
        support::entry::Lie::FalseCoverage,
        support::entry::Lie::ForeignHits,
    ] {
        let entry = support::entry::start(lie, None).await;
        let short = load::Settings {
            duration: time::Duration::from_millis(300),
            ..settings(entry.port)
        };
        let report = run(short).await;
        assert!(report.verified > 10);
        assert_eq!(report.wrong, report.verified, "{lie:?}");
    }
}

/// Guards against requests that vanish from the report because they were not sent.
#[tokio::test]
async fn unsent_requests_are_reported() {
    let port = support::free_port().await;
    let report = run(load::Settings {
        duration: time::Duration::from_millis(300),
        baseline: true,
        ..settings(port)
    })
    .await;
    assert!(report.intended > 10);
    assert_eq!(
        report.unsent.get("connection refused"),
        Some(&report.intended)
    );
    let entry = support::entry::start(
        support::entry::Lie::None,
        Some((time::Duration::ZERO, time::Duration::from_secs(1))),
    )
    .await;
    let report = run(load::Settings {
        duration: time::Duration::from_millis(500),
        in_flight: 5,
        ..settings(entry.port)
    })
    .await;
    let overflow = report.unsent.get("too many in progress").copied();
    assert_eq!(overflow, Some(report.intended - 5));
    assert_eq!(entry.queried.load(atomic::Ordering::Relaxed), 5);
}

/// Guards against a scenario that runs no step or hides a failed one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn scenario_commands_and_controls_are_executed_and_reported() {
    let entry = support::entry::start(support::entry::Lie::None, None).await;
    let running = support::start(support::behaviour(5), Vec::new()).await;
    let steps: Vec<load::Step> = serde_saphyr::from_str(
        "- {at: 100ms, do: command, statement: take out zone b}\n\
         - {at: 200ms, do: host_version, select: {zone: a}, collection: dossiers, version: 2}\n\
         - {at: 300ms, do: control, instruction: {control: set, behaviour: {shed_ms: 900}}}\n\
         - {at: 400ms, do: signal, process: entry-1, signal: stop}\n",
    )
    .expect("steps");
    let short = load::Settings {
        duration: time::Duration::from_millis(600),
        ..settings(entry.port)
    };
    let listings = vec![running.listing.clone()];
    let report = load::run(short, steps, listings, Vec::new())
        .await
        .expect("run");
    let succeeded: Vec<_> = report.events.iter().map(|event| event.succeeded).collect();
    assert_eq!(succeeded, [true, true, true, false], "{:?}", report.events);
    let commands = entry.commands.lock().expect("lock").clone();
    assert_eq!(commands[0]["statement"], "take out zone b");
    assert_eq!(commands[0]["wait"], "in_force");
    assert!(report.kinds[0].changing.count > 10);
    let other = backend::SearchRequest {
        version: 2,
        ..support::search(1, 500)
    };
    let (status, body) = running.post("/v1/search", &other).await.expect("reply");
    assert_eq!((status, &body["retry_after_ms"]), (503, &900.into()));
}

/// Guards against a report that cannot be read again for a comparison.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_survive_a_round_trip_and_compare() {
    let entry = support::entry::start(support::entry::Lie::None, None).await;
    let short = load::Settings {
        duration: time::Duration::from_millis(300),
        ..settings(entry.port)
    };
    let report = run(short).await;
    let path = std::env::temp_dir().join(format!("report-{}.json", std::process::id()));
    report.write(&path).expect("write");
    let again = load::Report::read(&path).expect("read");
    std::fs::remove_file(&path).expect("remove");
    assert_eq!(again.kinds, report.kinds);
    let table = load::Table::of(&[&report, &again]);
    assert!(table.rows().iter().all(|row| row.1[0] == row.1[1]));
}
