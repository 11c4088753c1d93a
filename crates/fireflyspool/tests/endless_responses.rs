//! Memory of an entry VM while many backend servers send bytes without end.

mod platform_site;

use std::{net, sync, time};

use platform_site::{Caller, SHARDS, SINGLE_SERVICE, Site, WAIT_LIMIT};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const CONTROLS: [u8; 3] = [1, 2, 3];
const ENTRY: u8 = 11;

/// Servers of each service, and the slots that each of them reports.
const REPLICAS: usize = 4;
const SLOTS: usize = 64;

/// Requests that are under way at a time, and for how long.
const CALLERS: usize = 500;
const LENGTH: time::Duration = time::Duration::from_secs(8);

/// Memory of an entry VM on the users' platform.
const MAX_MEMORY_KB: u64 = 182 * 1_000_000 / 1_024;

/// Bytes that a server sends at once, below what one response may have; it then waits.
const SENT_BYTES: usize = 1_000_000;

/// Chunks of one byte, with more around them.
const CHUNK: &[u8] = b"1;a\r\nx\r\n";

/// Starts a server that answers each request without end.
async fn start_server() -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: tokio::net::TcpStream) {
    let mut request = [0; 4_096];
    if !matches!(stream.read(&mut request).await, Ok(1..)) {
        return;
    }
    let head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    // The caller closes the connection once it has had enough.
    let _ = stream.write_all(head.as_bytes()).await;
    let body = CHUNK.repeat(SENT_BYTES / CHUNK.len());
    let _ = stream.write_all(&body).await;
    let _ = stream.read(&mut request).await;
}

/// Reports the servers for as long as the site is used.
async fn report(site: &Site, servers: &[(String, net::SocketAddr)], sequence: u64) {
    for (index, (service, address)) in servers.iter().enumerate() {
        let body = format!(
            r#"{{"Backend":"{service}","Address":"{address}","Zone":"a","Version":"v1",
            "Concurrency":{SLOTS},"State":"ready","WarmupLeftMs":0,"Sequence":{sequence},
            "born":5}}"#
        );
        let control = site.control(CONTROLS[index % CONTROLS.len()]);
        let url = format!("http://{control}/fireflyspool/Instances.Heartbeat/i-{index}");
        // The next report follows soon.
        let _ = site.http.post(url).body(body).send().await;
    }
}

/// Another operator's process kept bytes that were no answer until it ran out of memory; a limit
/// for each answer does not bound what many of them take together.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_responses_of_many_servers_fit_into_the_memory_of_an_entry_vm() {
    let site = sync::Arc::new(Site::new(73));
    let zones = CONTROLS.iter().zip(["a", "b", "c"]);
    let controls = zones.map(|(vm, zone)| site.start(*vm, "control", zone, true));
    let controls: Vec<_> = controls.collect();
    let mut entry = site.start(ENTRY, "entry", "a", true);
    let configuration = site.configuration(3, 2_500);
    site.order(&CONTROLS, "/fireflyspool/Config.Replace", configuration)
        .await;
    let mut servers = Vec::new();
    for service in SHARDS.iter().chain([&SINGLE_SERVICE]) {
        for _ in 0..REPLICAS {
            servers.push(((*service).to_owned(), start_server().await));
        }
    }
    let reporting = sync::Arc::clone(&site);
    tokio::spawn(async move {
        for sequence in 1.. {
            report(&reporting, &servers, sequence).await;
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
    });
    let address = Caller::new().resolve(&site, 1, 1).await[0];
    let started = time::Instant::now();
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(async move {
            let mut caller = Caller::named(&format!("c{number}-"));
            let prefix = ["/all/", "/one/"][number % 2];
            let (mut sent, mut served) = (0, 0);
            while started.elapsed() < LENGTH {
                let status = caller
                    .get(address, &format!("{prefix}{number}-{sent}"))
                    .await;
                sent += 1;
                served += usize::from(status == Some(200));
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
            (sent, served)
        });
    }
    let mut peak = 0;
    while !callers.is_empty() {
        assert!(started.elapsed() < WAIT_LIMIT, "requests do not end");
        assert!(entry.is_running(), "the entry VM ended");
        peak = peak.max(entry.resident_kb());
        while callers.try_join_next().is_some() {}
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    println!("peak of the resident memory: {peak} KB");
    assert!(peak < MAX_MEMORY_KB, "{peak} KB, {MAX_MEMORY_KB} allowed");
    drop((entry, controls));
}
