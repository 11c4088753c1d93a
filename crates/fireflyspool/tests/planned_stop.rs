//! Planned stops of entry VMs while backend servers are slow, with real processes.

mod platform_site;

use std::{future, io::Write as _, net, sync, time};

use fireflyspool::{rim, timer};
use platform_site::{Caller, SHARDS, SINGLE_SERVICE, Site, StandInServer, WAIT_LIMIT};
use tokio::{
    sync::watch,
    task::{JoinHandle, JoinSet},
};

const CONTROLS: [u8; 3] = [1, 2, 3];

/// Grace period of the site's settings.
const GRACE: time::Duration = time::Duration::from_secs(4);

/// Time between two requests, each on a new connection; all fit the connections of one server.
const SPACING: time::Duration = time::Duration::from_millis(50);

/// How the request of a caller ended.
#[derive(Debug, PartialEq)]
enum Ended {
    Answered(u16),
    /// No connection was made.
    NotConnected,
    /// The connection ended without an answer.
    Cut,
}

async fn request(entry: net::SocketAddr, number: usize) -> Ended {
    let mut caller = Caller::named(&format!("q{number}x"));
    let (_, answer) = caller.send(entry, "/one/").await;
    match answer {
        Ok(answer) => Ended::Answered(answer.status().as_u16()),
        Err(error) if error.is_connect() => Ended::NotConnected,
        Err(_) => Ended::Cut,
    }
}

/// Requests that may not be repeated were taken late in the grace period and cut at its end
/// without an answer, and so were those that had just been accepted when it ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_request_is_cut_by_a_planned_stop() {
    let site = sync::Arc::new(Site::new(70));
    let zones = CONTROLS.iter().zip(["a", "b", "c"]);
    let _controls: Vec<_> = zones
        .map(|(vm, zone)| site.start(*vm, "control", zone, true))
        .collect();
    let entry = site.start(11, "entry", "a", true);
    let configuration = site.configuration(7, 1_500);
    site.order(&CONTROLS, "/fireflyspool/Config.Replace", configuration)
        .await;
    let mut servers = Vec::new();
    for service in SHARDS.iter().chain([&SINGLE_SERVICE]) {
        servers.push(StandInServer::start(service, 0, "a", false).await);
    }
    let mut caller = Caller::new();
    let start = time::Instant::now();
    let address = site.address(11, 1);
    while caller.send_single(address).await != Some(200) {
        assert!(start.elapsed() < WAIT_LIMIT, "no answer");
        for server in &mut servers {
            server.send_heartbeat(&site, &CONTROLS, "ready").await;
        }
    }
    servers.last().expect("the desk").be_silent();

    entry.terminate();
    let start = time::Instant::now();
    let mut requests = JoinSet::new();
    let mut number = 0;
    while start.elapsed() < GRACE + time::Duration::from_millis(200) {
        requests.spawn(request(address, number));
        number += 1;
        tokio::time::sleep(SPACING).await;
    }
    let code = entry.wait(WAIT_LIMIT).await;
    let ends = requests.join_all().await;
    let count = |wanted: &Ended| ends.iter().filter(|end| *end == wanted).count();
    assert_eq!(count(&Ended::Cut), 0, "of {} requests", ends.len());
    assert!(count(&Ended::Answered(504)) > 10, "passed on: {ends:?}");
    assert!(count(&Ended::Answered(503)) > 10, "refused late: {ends:?}");
    assert_eq!(code, Some(0), "the entry VM cut requests");
}

/// Connections that never send a request keep a stopping entry VM from ending at once. Its
/// listener was closed meanwhile, which reset connections that waited to be accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stopping_entry_vm_answers_new_connections_while_others_end() {
    let timer = timer::TimerService::start().expect("a thread");
    let (closing, closed) = watch::channel(false);
    let start = time::Instant::now();
    let (address, listening) = loop {
        assert!(start.elapsed() < WAIT_LIMIT, "it does not listen");
        let (address, listening) = listen(&timer, &closed);
        while !listening.is_finished() && start.elapsed() < WAIT_LIMIT {
            if matches!(request(address, 0).await, Ended::Answered(503)) {
                break;
            }
        }
        // Another process may have taken the port between its choice and its use.
        if !listening.is_finished() {
            break (address, listening);
        }
        let ended = listening.await.expect("no panic");
        println!("{address} cannot be used: {ended:?}");
    };
    // A request whose end never comes.
    let mut open = net::TcpStream::connect(address).expect("it listens");
    open.write_all(b"POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: x\r\n")
        .expect("it reads");
    tokio::time::sleep(SPACING).await;
    closing.send(true).expect("it listens");
    for number in 1..20 {
        let ended = request(address, number).await;
        assert_eq!(ended, Ended::Answered(503), "request {number}");
    }
    drop(open);
    let ended = tokio::time::timeout(WAIT_LIMIT, listening).await;
    ended
        .expect("the last connection has ended")
        .expect("no panic")
        .expect("it could listen");
}

/// Starts a listener on a port that was free a moment ago.
fn listen(
    timer: &timer::TimerService,
    closed: &watch::Receiver<bool>,
) -> (net::SocketAddr, JoinHandle<Result<(), rim::RpcError>>) {
    let port = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = port.local_addr().expect("an address");
    drop(port);
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let services = (timer.clone(), logger);
    let handler = sync::Arc::new(Refusing);
    let listener = rim::caller_listener(address, handler, services, closed.clone());
    (address, tokio::spawn(listener))
}

/// Handler that refuses all requests.
struct Refusing;

impl rim::CallerHandler for Refusing {
    fn handle(&self, _: http::Request<hyper::body::Incoming>) -> rim::ResponseFuture {
        let body = rim::ResponseBody::Left(http_body_util::Full::default());
        let mut response = http::Response::new(body);
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
        Box::pin(future::ready(response))
    }

    fn idle(&self) -> time::Duration {
        WAIT_LIMIT
    }
}
