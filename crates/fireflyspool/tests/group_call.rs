//! Calls of other entry VMs for groups, against a listener that answers with given bytes.

use std::{net, sync, time};

use fireflyspool::{forward, node, rim, timer};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Longest wait for an event, with a margin for a busy machine.
const LIMIT: time::Duration = time::Duration::from_secs(20);

const SHARDS: usize = 3;

/// One answer in the encoding between entry VMs.
fn frame(description: &str, body: &[u8]) -> Vec<u8> {
    let lengths = [description.len(), body.len()];
    let lengths = lengths.map(|length| u32::try_from(length).expect("short").to_be_bytes());
    [
        lengths.concat(),
        description.as_bytes().to_vec(),
        body.to_vec(),
    ]
    .concat()
}

fn whole(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.into_bytes(), body.to_vec()].concat()
}

/// Listener that writes these pieces to each request, with pauses between them, and then
/// closes the connection.
async fn listener(pieces: Vec<Vec<u8>>) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
                if stream.read_buf(&mut head).await.expect("it can be read") == 0 {
                    return;
                }
            }
            for piece in &pieces {
                stream.write_all(piece).await.expect("it can be written");
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
        }
    });
    address
}

fn call(delegate: net::SocketAddr, timeout: time::Duration) -> rim::GroupCall<rim::Unsent> {
    let timer = timer::TimerService::start().expect("a thread");
    let client = rim::ForwardClient::new(timer.clone());
    let now = time::Instant::now();
    let delegation = forward::Delegation {
        attempt: 1,
        delegate,
        group: forward::Group {
            route: "route".to_owned(),
            objective: timeout,
            cutoff: now + timeout,
            deadline: now + timeout,
            content: 7,
            top_k: 2,
            services: (0..SHARDS).map(|shard| format!("shard{shard}")).collect(),
        },
    };
    let message = node::Message {
        id: "id".to_owned(),
        method: http::Method::GET,
        target: "/path".parse().expect("a target"),
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::new(),
    };
    rim::GroupCall::new((client, timer), &delegation, &message)
}

/// All answers of a call, and how it ended.
async fn answers(pieces: Vec<Vec<u8>>) -> (Vec<forward::GroupAnswer>, forward::GroupEnd) {
    let mut progress = call(listener(pieces).await, LIMIT).send().await;
    let mut answers = Vec::new();
    loop {
        match progress {
            rim::GroupProgress::Answered(answer, call) => {
                answers.push(answer);
                progress = call.next().await;
            }
            rim::GroupProgress::Ended(answer, end) => {
                answers.extend(answer);
                return (answers, end);
            }
        }
    }
}

const FIRST: &str = r#"{"id":"id","answered":[[0,"s0"]],
    "missing":[{"position":1,"tried":["a"],"running":true,"ran":true},
    {"position":2,"tried":[],"running":true,"ran":true}]}"#;
const LAST: &str = r#"{"id":"id","last":true,"answered":[[1,"s1"],[2,"s2"]]}"#;

/// Guards against answers that depend on how their bytes arrive.
#[tokio::test]
async fn answers_arrive_whole_however_they_are_cut() {
    let bytes = whole(&[frame(FIRST, &[1; 16]), frame(LAST, &[2; 32])].concat());
    let expected = answers(vec![bytes.clone()]).await;
    let (read, end) = &expected;
    assert_eq!(*end, forward::GroupEnd::Answered);
    let signatures: Vec<_> = read.iter().map(|answer| answer.answered.len()).collect();
    assert_eq!(signatures, [1, 2]);
    assert_eq!(read[0].missing[0].tried, ["a"]);
    assert_eq!((read[0].body.len(), read[1].body.len()), (16, 32));
    for cut in (1..bytes.len()).step_by(37) {
        let (left, right) = bytes.split_at(cut);
        let read = answers(vec![left.to_vec(), right.to_vec()]).await;
        assert_eq!(read, expected, "cut at {cut}");
    }
}

/// Guards against an answer to another request, and against one that contradicts itself: it
/// would be merged into a wrong answer to a caller.
#[tokio::test]
async fn answers_that_cannot_be_right_are_broken() {
    let position = |position: &str| LAST.replace("[1,", &format!("[{position},"));
    let bad = [
        frame(&LAST.replace(r#""id":"id""#, r#""id":"other""#), &[2; 32]),
        frame(&position("3"), &[2; 32]),
        frame(&position("2"), &[2; 32]),
        frame(&position("-1"), &[2; 32]),
        frame(LAST, &[2; 31]),
        frame("{}", &[]),
        frame("not JSON", &[]),
        frame(LAST, &[2; 32])[..40].to_vec(),
        vec![0xff; 64],
        Vec::new(),
    ];
    for bytes in bad {
        let (read, end) = answers(vec![whole(&bytes)]).await;
        assert_eq!(end, forward::GroupEnd::Broken, "{bytes:?}");
        assert!(read.is_empty());
    }
    // What arrived whole before counts.
    let (read, end) = answers(vec![whole(&frame(FIRST, &[1; 16]))]).await;
    assert_eq!((read.len(), end), (1, forward::GroupEnd::Broken));
}

/// Guards against a refusal that counts as work done, and against the reverse.
#[tokio::test]
async fn refusals_failures_and_silence_are_told_apart() {
    let status = |status: &str| {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        answers(vec![text.into_bytes()])
    };
    assert_eq!(status("503 Busy").await.1, forward::GroupEnd::Refused);
    assert_eq!(status("500 Error").await.1, forward::GroupEnd::Broken);
    assert_eq!(status("400 Bad").await.1, forward::GroupEnd::Broken);
    assert_eq!(
        answers(vec![]).await.1,
        forward::GroupEnd::Broken,
        "it closes"
    );

    let free = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = free.local_addr().expect("an address");
    let silent = call(address, time::Duration::from_millis(50)).send().await;
    let is_end = |progress, expected: forward::GroupEnd| matches!(progress, rim::GroupProgress::Ended(None, end) if end == expected);
    assert!(is_end(silent, forward::GroupEnd::TimedOut));
    drop(free);
    let unreachable = call(address, LIMIT).send().await;
    assert!(is_end(unreachable, forward::GroupEnd::Unreachable));
}

/// Guards against work that goes on at the other entry VM after the caller has left.
#[tokio::test]
async fn a_dropped_call_closes_its_connection() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    let closed = sync::Arc::new(tokio::sync::Notify::new());
    let closing = sync::Arc::clone(&closed);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = Vec::new();
        while stream.read_buf(&mut bytes).await.is_ok_and(|read| read > 0) {}
        closing.notify_one();
    });
    let sending = call(address, LIMIT).send();
    let waited = tokio::time::timeout(time::Duration::from_millis(100), sending).await;
    assert!(waited.is_err(), "nobody answers");
    let closed = tokio::time::timeout(LIMIT, closed.notified()).await;
    assert!(closed.is_ok(), "the connection stays open");
}
