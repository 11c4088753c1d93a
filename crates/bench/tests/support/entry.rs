//! Entry VM for the tests, which can answer wrongly or stall.

use std::{sync, time};

use fireflyspool::outcome;
use fireflyspool_bench::hits;
use rocket::serde::json;

/// What the entry VM does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Lie {
    #[default]
    None,
    /// One hit of another index version.
    MixedVersion,
    /// A shard is said to be covered that was not searched.
    FalseCoverage,
    /// The hits of another text.
    ForeignHits,
}

/// Behaviour and counts of the entry VM.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) port: u16,
    pub(crate) lie: Lie,
    /// Time from the start within which responses are held back.
    pub(crate) stall: Option<(time::Duration, time::Duration)>,
    pub(crate) start: time::Instant,
    pub(crate) asked: sync::atomic::AtomicU64,
    pub(crate) queried: sync::atomic::AtomicU64,
    pub(crate) commands: sync::Mutex<Vec<json::Value>>,
}

type Shared = sync::Arc<Entry>;

#[rocket::get("/v1/addresses?<service>")]
fn addresses(entry: &rocket::State<Shared>, service: String) -> json::Value {
    entry.asked.fetch_add(1, sync::atomic::Ordering::Relaxed);
    let address = format!("127.0.0.1:{}", entry.port);
    serde_json::json!({"service": service, "addresses": [address], "lifetime_ms": 700})
}

#[rocket::post("/v1/command", data = "<body>")]
fn command(entry: &rocket::State<Shared>, body: json::Json<json::Value>) -> &'static str {
    entry.commands.lock().expect("lock").push(body.into_inner());
    "accepted"
}

#[rocket::post("/v1/query", data = "<body>")]
async fn query(
    entry: &rocket::State<Shared>,
    body: json::Json<json::Value>,
) -> json::Json<outcome::Outcome> {
    entry.queried.fetch_add(1, sync::atomic::Ordering::Relaxed);
    if let Some((from, until)) = entry.stall {
        let elapsed = entry.start.elapsed();
        if elapsed >= from && elapsed < until {
            tokio::time::sleep(until - elapsed).await;
        }
    }
    let statement = body["statement"].as_str().expect("statement");
    let text = statement.split('"').nth(1).expect("text");
    let request = body["request"].as_str().expect("request");
    json::Json(answer(request, text, entry.lie))
}

/// Complete answer over three shards, with a lie.
pub(crate) fn answer(request: &str, text: &str, lie: Lie) -> outcome::Outcome {
    let snapshot = outcome::Snapshot {
        collection: "dossiers".to_owned(),
        version: 1,
    };
    let text = if lie == Lie::ForeignHits {
        "other"
    } else {
        text
    };
    let searched: &[u32] = if lie == Lie::FalseCoverage {
        &[0, 1]
    } else {
        &[0, 1, 2]
    };
    let mut found = hits::merged(&snapshot, searched, text, 10);
    if lie == Lie::MixedVersion {
        let other = outcome::Snapshot {
            version: 2,
            ..snapshot.clone()
        };
        found[0] = hits::of_shard(&other, 0, text).remove(0);
    }
    outcome::Outcome::Complete(outcome::Answer {
        request: request.to_owned(),
        snapshot,
        coverage: outcome::Coverage {
            covered: vec![0, 1, 2],
            missing: Vec::new(),
        },
        sufficient: true,
        deadline: time::Duration::from_millis(500),
        elapsed: time::Duration::from_millis(1),
        hits: found,
    })
}

/// Starts the entry VM on a free port.
pub(crate) async fn start(lie: Lie, stall: Option<(time::Duration, time::Duration)>) -> Shared {
    let port = super::free_port().await;
    let entry = sync::Arc::new(Entry {
        port,
        lie,
        stall,
        start: time::Instant::now(),
        asked: sync::atomic::AtomicU64::new(0),
        queried: sync::atomic::AtomicU64::new(0),
        commands: sync::Mutex::default(),
    });
    let figment = rocket::Config::figment()
        .merge(("port", port))
        .merge(("log_level", "off"));
    let rocket = rocket::custom(figment)
        .manage(sync::Arc::clone(&entry))
        .mount("/", rocket::routes![addresses, command, query]);
    tokio::spawn(rocket.launch());
    super::pause(200).await;
    entry
}
