//! Responses of backend servers whose status code is invalid.

mod platform_site;

use std::{net, sync, time};

use platform_site::{Caller, SINGLE_SERVICE, Site, WAIT_LIMIT};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const CONTROLS: [u8; 3] = [1, 2, 3];
const ENTRY: u8 = 11;

/// What stands in the status line instead of a final status code.
const INVALID: [&str; 12] = [
    "000", "099", "100", "101", "199", "600", "999", "20", "2000", "-20", "abc", "",
];

/// Starts a server that takes its status code from the path of a request.
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
    let mut request = vec![0; 4_096];
    while let Ok(length @ 1..) = stream.read(&mut request).await {
        let text = String::from_utf8_lossy(&request[..length]);
        let path = text.split(' ').nth(1).unwrap_or_default();
        let status = path.rsplit('/').next().unwrap_or_default();
        let response = format!(
            "HTTP/1.1 {status} Any\r\nX-Server-Stamp: s\r\nContent-Length: 16\r\n\r\n0123456789abcdef"
        );
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reports the servers as ready.
async fn report(site: &Site, servers: &[(&str, net::SocketAddr)], sequence: u64) {
    for (index, (service, address)) in servers.iter().enumerate() {
        let body = format!(
            r#"{{"Backend":"{service}","Address":"{address}","Zone":"a","Version":"v1",
            "Concurrency":64,"State":"ready","WarmupLeftMs":0,"Sequence":{sequence},"born":5}}"#
        );
        let path = format!("/fireflyspool/Instances.Heartbeat/i-{index}");
        site.order(&CONTROLS, &path, body).await;
    }
}

/// Status of the answer to a request that has run: after failures the entry VM refuses some
/// requests (503), until successes have lowered the failure rate.
async fn run(
    caller: &mut Caller,
    entry: net::SocketAddr,
    prefix: &str,
    status: &str,
) -> Option<u16> {
    let start = time::Instant::now();
    while start.elapsed() < WAIT_LIMIT {
        let answer = caller.get(entry, &format!("{prefix}{status}")).await;
        if answer != Some(503) {
            return answer;
        }
        caller.get(entry, &format!("{prefix}200")).await;
    }
    panic!("{prefix}{status} was not run in {WAIT_LIMIT:?}");
}

/// Another operator's process passed an answer with status 000 on as one of its own; clients took
/// it for an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_with_an_invalid_status_are_not_passed_on() {
    let site = sync::Arc::new(Site::new(74));
    let zones = CONTROLS.iter().zip(["a", "b", "c"]);
    let controls = zones.map(|(vm, zone)| site.start(*vm, "control", zone, true));
    let controls: Vec<_> = controls.collect();
    let entry = site.start(ENTRY, "entry", "a", true);
    let configuration = site.configuration(3, 2_500);
    site.order(&CONTROLS, "/fireflyspool/Config.Replace", configuration)
        .await;
    let services = platform_site::SHARDS.iter().chain([&SINGLE_SERVICE]);
    let mut servers = Vec::new();
    for service in services {
        servers.push((*service, start_server().await));
    }
    report(&site, &servers, 1).await;
    let reporting = sync::Arc::clone(&site);
    tokio::spawn(async move {
        // A server that has failed several times is used again after its next heartbeat.
        for sequence in 2.. {
            tokio::time::sleep(time::Duration::from_millis(100)).await;
            report(&reporting, &servers, sequence).await;
        }
    });
    let mut caller = Caller::new();
    let address = caller.resolve(&site, 1, 1).await[0];
    for prefix in ["/one/", "/all/"] {
        for valid in [200, 204, 404, 500, 599] {
            // A gathered answer needs records; a 204 has none.
            let expected = match (prefix, valid) {
                ("/all/", 200) => Some(200),
                ("/all/", _) => None,
                (_, status) => Some(status),
            };
            let status = run(&mut caller, address, prefix, &valid.to_string()).await;
            if expected.is_some() {
                assert_eq!(status, expected, "{prefix} {valid}");
            }
        }
        for invalid in INVALID {
            let status = run(&mut caller, address, prefix, invalid).await;
            let failed = matches!(status, Some(502 | 504));
            assert!(failed, "{prefix} {invalid:?}: {status:?}");
        }
    }
    drop((entry, controls));
}
