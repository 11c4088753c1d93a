//! Promises of a searcher over HTTP.

mod support;

use std::{sync, time};

use fireflyspool::backend;
use tokio::io::AsyncReadExt as _;

/// Guards against a cancellation that answers but leaves the slot taken.
#[tokio::test]
async fn cancellation_frees_the_slot() {
    let running = support::start(support::behaviour(5_000), Vec::new()).await;
    let first = running.spawn_search(support::search(1, 20_000));
    support::pause(100).await;
    let cancel = backend::CancelRequest { attempt: 1 };
    let (status, body) = running.post("/v1/cancel", &cancel).await.expect("reply");
    assert_eq!((status, &body["state"]), (200, &"cancelled".into()));
    let (status, body) = first.await.expect("task").expect("reply");
    assert_eq!((status, &body["ran"]), (499, &true.into()));
    let faster = serde_json::json!({"control": "set", "behaviour": {"service_time": "5ms"}});
    assert_eq!(running.control(faster).await, 200);
    let began = time::Instant::now();
    let (status, body) = running
        .post("/v1/search", &support::search(2, 1_000))
        .await
        .expect("reply");
    assert_eq!((status, &body["attempt"]), (200, &2.into()));
    assert!(began.elapsed() < time::Duration::from_secs(2));
    assert_eq!(running.counters().await.cancelled, 1);
    let (_, body) = running
        .post("/v1/cancel", &backend::CancelRequest { attempt: 2 })
        .await
        .expect("reply");
    assert_eq!(body["state"], "finished");
}

/// Guards against a limit that counts connections but serves all of them.
#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    let mut behaviour = support::behaviour(5);
    behaviour.connections = 2;
    let running = support::start(behaviour, Vec::new()).await;
    let mut open = Vec::new();
    for _ in 0..4 {
        let stream = tokio::net::TcpStream::connect(running.listing.address).await;
        open.push(stream.expect("accepted by the kernel"));
        support::pause(50).await;
    }
    let mut buffer = [0];
    let wait = time::Duration::from_millis(500);
    let closed = tokio::time::timeout(wait, open[2].read(&mut buffer)).await;
    assert!(
        matches!(closed, Ok(Ok(0) | Err(_))),
        "third connection is served"
    );
    let alive = tokio::time::timeout(wait, open[1].read(&mut buffer)).await;
    assert!(alive.is_err(), "second connection is closed");
    let counters = running.counters().await;
    assert_eq!(
        (counters.most_connections, counters.rejected_connections),
        (2, 2)
    );
    open.clear();
    support::pause(100).await;
    assert_eq!(running.counters().await.connections, 0);
}

/// Guards against a crash that answers requests or keeps its incarnation.
#[tokio::test]
async fn marked_request_resets_the_searcher() {
    let mut behaviour = support::behaviour(300);
    behaviour.crash_marker = Some("poison".to_owned());
    behaviour.slots = 2;
    let running = support::start(behaviour, Vec::new()).await;
    let (_, before) = running
        .post("/v1/search", &support::search(1, 1_000))
        .await
        .expect("reply");
    let bystander = running.spawn_search(support::search(2, 1_000));
    support::pause(50).await;
    let mut marked = support::search(3, 1_000);
    marked.text = "a poison request".to_owned();
    assert!(running.post("/v1/search", &marked).await.is_err());
    assert!(bystander.await.expect("task").is_err());
    let away = running.post("/v1/search", &support::search(4, 1_000)).await;
    assert!(away.is_err(), "served while away");
    support::pause(400).await;
    let (_, after) = running
        .post("/v1/search", &support::search(5, 1_000))
        .await
        .expect("back after the restart time");
    let incarnation = |body: &serde_json::Value| body["incarnation"].as_u64();
    assert!(incarnation(&after) > incarnation(&before));
    assert_eq!(running.counters().await.crashes, 1);
}

/// Guards against a drain that cuts running work, takes new work or never ends.
#[tokio::test]
async fn drain_finishes_running_work_and_refuses_new_work() {
    let running = support::start(support::behaviour(400), Vec::new()).await;
    let first = running.spawn_search(support::search(1, 2_000));
    support::pause(100).await;
    assert_eq!(
        running
            .control(serde_json::json!({"control": "drain"}))
            .await,
        200
    );
    let (status, body) = running
        .post("/v1/search", &support::search(2, 2_000))
        .await
        .expect("reply");
    assert_eq!((status, &body["ran"]), (410, &false.into()));
    assert_eq!(first.await.expect("task").expect("reply").0, 200);
    let ended = tokio::time::timeout(time::Duration::from_secs(3), running.process).await;
    ended.expect("ends when idle").expect("task").expect("run");
}

/// Guards against work that goes on after its deadline and holds the slot.
#[tokio::test]
async fn work_stops_at_its_deadline() {
    let running = support::start(support::behaviour(5_000), Vec::new()).await;
    let second = async {
        support::pause(30).await;
        running.post("/v1/search", &support::search(2, 100)).await
    };
    let began = time::Instant::now();
    let first = support::search(1, 200);
    let (first, second) = tokio::join!(running.post("/v1/search", &first), second);
    assert!(began.elapsed() < time::Duration::from_secs(2));
    let (status, body) = first.expect("reply");
    assert_eq!((status, &body["ran"]), (504, &true.into()));
    let (status, body) = second.expect("reply");
    assert_eq!((status, &body["ran"]), (504, &false.into()));
    assert_eq!(running.counters().await.expired, 2);
}

/// Guards against hits from a version that is not hosted and against shedding that runs work.
#[tokio::test]
async fn refusals_run_nothing() {
    let running = support::start(support::behaviour(5), Vec::new()).await;
    let mut other = support::search(1, 1_000);
    other.version = 2;
    assert_eq!(
        running.post("/v1/search", &other).await.expect("reply").0,
        409
    );
    let add = serde_json::json!({"control": "add_version", "collection": "dossiers", "version": 2, "shard": 0});
    assert_eq!(running.control(add).await, 200);
    assert_eq!(
        running.post("/v1/search", &other).await.expect("reply").0,
        200
    );
    let shed = serde_json::json!({"control": "set", "behaviour": {"shed_ms": 700}});
    assert_eq!(running.control(shed).await, 200);
    let (status, body) = running.post("/v1/search", &other).await.expect("reply");
    assert_eq!((status, &body["retry_after_ms"]), (503, &700.into()));
    let typo = serde_json::json!({"control": "set", "behaviour": {"shed_mss": 700}});
    assert_eq!(running.control(typo).await, 422);
    let counters = running.counters().await;
    assert_eq!(counters.run, 1);
    assert_eq!(counters.refused.get(&409), Some(&1));
}

type Seen = sync::Arc<sync::Mutex<Vec<(u16, String, backend::Announcement)>>>;

struct Key(String);

#[rocket::async_trait]
impl<'r> rocket::request::FromRequest<'r> for Key {
    type Error = ();

    async fn from_request(request: &'r rocket::Request<'_>) -> rocket::request::Outcome<Self, ()> {
        let header = request.headers().get_one("authorization");
        rocket::request::Outcome::Success(Self(header.unwrap_or_default().to_owned()))
    }
}

#[rocket::post("/v1/announce", data = "<body>")]
fn announce(
    key: Key,
    seen: &rocket::State<(u16, Seen)>,
    body: rocket::serde::json::Json<backend::Announcement>,
) {
    let entry = (seen.0, key.0, body.into_inner());
    seen.1.lock().expect("lock").push(entry);
}

async fn entry(port: u16, seen: &Seen) {
    let figment = rocket::Config::figment()
        .merge(("port", port))
        .merge(("log_level", "off"));
    let rocket = rocket::custom(figment)
        .manage((port, sync::Arc::clone(seen)))
        .mount("/", rocket::routes![announce]);
    tokio::spawn(rocket.launch());
}

/// Guards against a change of phase that reaches one entry VM only, and against reused sequences.
#[tokio::test]
async fn announcements_rotate_and_phases_reach_every_entry() {
    let seen = Seen::default();
    let ports = [support::free_port().await, support::free_port().await];
    for port in ports {
        entry(port, &seen).await;
    }
    support::pause(300).await;
    let mut behaviour = support::behaviour(5);
    behaviour.leave_time = time::Duration::from_millis(1_500);
    let entries = ports.map(|port| ([127, 0, 0, 1], port).into()).to_vec();
    let running = support::start(behaviour, entries).await;
    support::pause(2_500).await;
    running
        .control(serde_json::json!({"control": "drain"}))
        .await;
    running.process.await.expect("task").expect("run");
    let seen = seen.lock().expect("lock");
    for port in ports {
        let phases = seen.iter().filter(|entry| entry.0 == port);
        let phases: Vec<_> = phases.map(|entry| entry.2.phase).collect();
        assert!(phases.contains(&backend::Phase::Ready), "{phases:?}");
        assert!(phases.contains(&backend::Phase::Leaving), "{phases:?}");
    }
    assert!(seen.iter().all(|entry| entry.1 == "Bearer k1"));
    assert!(
        seen.iter()
            .all(|entry| entry.2.address == running.listing.address)
    );
    let mut sequences: Vec<_> = seen.iter().map(|entry| entry.2.sequence).collect();
    sequences.dedup();
    let most = *sequences.iter().max().expect("announcements");
    assert!((4..=8).contains(&most), "{sequences:?}");
}
