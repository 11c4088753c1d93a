//! Limits of the client for the project's own protocol to backend servers.

use std::{net, time};

use fireflyspool::{backend, dispatch, rim};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    sync::mpsc,
};

/// Far above the limit of a reply and the buffers of a loopback connection.
const MAX_TAKEN_BYTES: usize = 32 * 1024 * 1024;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Longest wait for an expected event, with a margin for a busy machine.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Starts a server that answers every request with an endless body; the channel receives
/// the number of bytes of each.
async fn start_endless_server() -> (net::SocketAddr, mpsc::Receiver<usize>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await.expect("a request");
            let block = b"8\r\n        \r\n".repeat(512);
            let mut open = stream.write_all(HEAD).await.is_ok();
            let mut written = 0;
            while open && written < MAX_TAKEN_BYTES {
                open = stream.write_all(&block).await.is_ok();
                written += block.len();
            }
            if sender.send(written).await.is_err() {
                return;
            }
        }
    });
    (address, receiver)
}

async fn written(receiver: &mut mpsc::Receiver<usize>) -> usize {
    let written = tokio::time::timeout(WAIT_LIMIT, receiver.recv()).await;
    written.expect("the server ends").expect("a number")
}

#[tokio::test]
async fn an_endless_reply_is_cut() {
    let (address, mut receiver) = start_endless_server().await;
    let client = rim::BackendClient::new(address, 1).expect("a client");
    let search = backend::SearchRequest {
        attempt: 1,
        request: "r".to_owned(),
        collection: "c".to_owned(),
        version: 1,
        shard: 0,
        text: "t".to_owned(),
        deadline_ms: 1_000,
        limit: 10,
    };
    let reply = client
        .send(&dispatch::Body::Search(search), WAIT_LIMIT)
        .await;
    assert_eq!(reply, rim::BackendReply::Unreadable);
    assert!(written(&mut receiver).await < MAX_TAKEN_BYTES);

    assert_eq!(client.cancel(1, WAIT_LIMIT).await, None);
    assert!(written(&mut receiver).await < MAX_TAKEN_BYTES);

    assert!(!client.open().await, "an endless reply opens no connection");
    assert!(written(&mut receiver).await < MAX_TAKEN_BYTES);
}
