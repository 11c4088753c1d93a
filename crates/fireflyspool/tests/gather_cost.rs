//! Processor time and sleeps of an entry VM for one sub-request of a gathered query.
//!
//! `cargo test --release -p fireflyspool --test gather_cost -- --ignored --nocapture`

mod platform_site;

use std::{fs, sync, time};

use platform_site::{Caller, Site, StandInServer};

/// Numbers of the control VMs, and of the entry VM.
const CONTROLS: [u8; 3] = [1, 2, 3];
const ENTRY: u8 = 11;

const QUERIES: usize = 200;

/// Work of one thread since its start.
struct Work {
    thread: String,
    /// Time on a processor, in nanoseconds.
    time: u64,
    sleeps: u64,
}

/// Work of the threads of a process.
fn work(process: u32) -> Vec<Work> {
    let threads = fs::read_dir(format!("/proc/{process}/task")).expect("threads");
    let read_work = |path: std::path::PathBuf| {
        let read = |file: &str| fs::read_to_string(path.join(file)).expect("readable");
        let (time, status) = (read("schedstat"), read("status"));
        let mut lines = status.lines();
        let sleeps = lines.find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        Work {
            thread: read("comm").trim().to_owned(),
            time: first_number(&time),
            sleeps: first_number(sleeps.expect("a number of switches")),
        }
    };
    threads
        .map(|thread| read_work(thread.expect("a thread").path()))
        .collect()
}

fn first_number(text: &str) -> u64 {
    let mut words = text.split_whitespace();
    let word = words.next().expect("a word");
    word.parse().expect("a number")
}

/// JSON configuration with one route that gathers all shards.
fn configuration(shards: &[String]) -> String {
    let services = shards
        .iter()
        .map(|name| format!(r#"{{"Name":"{name}","MaxConnections":60}}"#));
    let services: Vec<_> = services.collect();
    format!(
        r#"{{"Version":1,"Routes":[{{"Name":"all","Hostname":"h.example",
        "PathPrefix":"/all/","RouteType":"idempotent","TimeoutMs":3000,
        "TargetLatencyMs":2000,"Priority":1,"Gather":{shards:?},
        "Attempts":2,"TopK":4,"MinCoverage":0.6}}],
        "Backends":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,
        "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        services.join(",")
    )
}

/// Starts one backend server for each shard, and their heartbeats.
async fn start_servers(site: &sync::Arc<Site>, shards: &[String]) {
    let mut servers = Vec::new();
    for shard in shards {
        servers.push(StandInServer::start(shard, 0, "a", false).await);
    }
    let site = sync::Arc::clone(site);
    tokio::spawn(async move {
        loop {
            for server in &mut servers {
                server.send_heartbeat(&site, &CONTROLS, "ready").await;
            }
            tokio::time::sleep(time::Duration::from_millis(600)).await;
        }
    });
}

/// Queries all shards; returns whether none was missing.
async fn query(caller: &mut Caller, entry: std::net::SocketAddr) -> bool {
    let (_, answer) = caller.send(entry, "/all/").await;
    let answer = answer.expect("an answer");
    let missing = answer.headers().get("x-missing-parts").cloned();
    answer.bytes().await.expect("a body");
    missing.is_some_and(|missing| missing == "0")
}

async fn measure(count: u8) {
    let site = sync::Arc::new(Site::new(100 + count));
    let _controls = CONTROLS.map(|vm| site.start(vm, "control", "a", true));
    let entry = site.start(ENTRY, "entry", "a", true);
    let shards: Vec<_> = (0..count).map(|number| format!("shard-{number}")).collect();
    let replace = "/fireflyspool/Config.Replace";
    site.order(&CONTROLS, replace, configuration(&shards)).await;
    start_servers(&site, &shards).await;
    let mut caller = Caller::new();
    let address = caller.resolve(&site, 2, 1).await[0];
    let mut complete = 0;
    while complete < 5 {
        complete += usize::from(query(&mut caller, address).await);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    let before = work(entry.id());
    for _ in 0..QUERIES {
        query(&mut caller, address).await;
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    let after = work(entry.id());
    let sub_requests = (QUERIES * usize::from(count)) as f64;
    let mut total = 0.0;
    for (after, before) in after.iter().zip(&before) {
        let micros = (after.time - before.time) as f64 / 1e3 / sub_requests;
        let sleeps = (after.sleeps - before.sleeps) as f64 / sub_requests;
        total += micros;
        let thread = &after.thread;
        println!("{count} shards, {thread:>14}: {micros:6.2} us, {sleeps:5.3} sleeps");
    }
    println!("{count} shards, all threads: {total:.2} us for each sub-request");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "a measurement"]
async fn work_for_each_sub_request() {
    for shards in [36, 54, 90] {
        measure(shards).await;
    }
}
