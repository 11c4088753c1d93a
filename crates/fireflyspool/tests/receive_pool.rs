//! Memory that responses under way take together: what the client refuses, and what it does not.

use std::{net, time};

use fireflyspool::{rim, timer};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    task::JoinSet,
};

/// Longest wait for an expected event, with a margin for a busy machine.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Bytes of the pool: enough for one large response, and too few for two.
const POOL_BYTES: usize = 256 * 1024;
const LARGE_BYTES: usize = 200 * 1024;

/// A response of this size is not taken from the pool.
const SMALL_BYTES: usize = 12 * 1024;

const CALLERS: usize = 6;

/// Starts a server whose responses state `length` bytes and have `sent`; then it waits.
async fn start_server(length: usize, sent: usize) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                while matches!(stream.read(&mut request).await, Ok(1..)) {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    // The client may have refused the response.
                    let _ = stream.write_all(head.as_bytes()).await;
                    let _ = stream.write_all(&vec![b'a'; sent]).await;
                }
            });
        }
    });
    address
}

fn client() -> rim::ForwardClient {
    let timer = timer::TimerService::start().expect("a thread");
    rim::ForwardClient::with_memory(timer, POOL_BYTES)
}

async fn fetch(
    client: &rim::ForwardClient,
    address: net::SocketAddr,
) -> Result<usize, rim::ForwardError> {
    let request = http::Request::builder()
        .uri("/")
        .header("host", "h.example")
        .body(http_body_util::Full::default())
        .expect("a request");
    let body = client.send(address, request).await?.into_body();
    Ok(body.read().await?.len())
}

/// Starts fetches of responses that stay incomplete, and waits until all but one are refused.
async fn exhaust(client: &rim::ForwardClient) -> JoinSet<Result<usize, rim::ForwardError>> {
    let address = start_server(LARGE_BYTES, LARGE_BYTES - 1).await;
    let mut fetches = JoinSet::new();
    for _ in 0..CALLERS {
        let client = client.clone();
        fetches.spawn(async move { fetch(&client, address).await });
    }
    for _ in 1..CALLERS {
        let ended = tokio::time::timeout(WAIT_LIMIT, fetches.join_next()).await;
        let ended = ended.expect("responses beyond the pool are refused");
        let ended = ended.expect("a fetch").expect("no panic");
        assert!(ended.is_err(), "{ended:?}");
    }
    fetches
}

/// Guards against a pool that refuses nothing, so that responses which stay incomplete fill the
/// memory of an entry VM.
#[tokio::test]
async fn incomplete_responses_beyond_the_pool_are_refused() {
    let fetches = exhaust(&client()).await;
    assert!(fetches.len() <= 1);
}

/// Guards against a pool that refuses common responses while others fill it, or that does not
/// get back what was taken from it.
#[tokio::test]
async fn small_responses_and_those_that_fit_are_not_refused() {
    let client = client();
    let small = start_server(SMALL_BYTES, SMALL_BYTES).await;
    let large = start_server(LARGE_BYTES, LARGE_BYTES).await;
    for _ in 0..3 {
        let held = exhaust(&client).await;
        for _ in 0..20 {
            let read = fetch(&client, small).await;
            assert_eq!(read.expect("a common response"), SMALL_BYTES);
        }
        drop(held);
        // The fetch that was under way ends with its task, at its next step.
        tokio::task::yield_now().await;
        for _ in 0..10 {
            let read = fetch(&client, large).await;
            assert_eq!(read.expect("a response that fits"), LARGE_BYTES);
        }
    }
}
