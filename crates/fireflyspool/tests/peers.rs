//! Calls to other processes that do not answer.

use std::time;

use fireflyspool::rim;

/// Guards against a call that waits without end for a process that is stopped:
/// its system accepts connections, but nobody answers the handshake.
#[tokio::test]
async fn a_call_to_a_stopped_process_ends_in_time() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let peer = rim::Peer::new(address, None);
    let limit = time::Duration::from_millis(200);
    let call = peer.call::<_, ()>(rim::Method::Exchange, &0, limit);
    // Far above the limits of connection and call, far below the default of any system.
    let ended = tokio::time::timeout(time::Duration::from_secs(10), call).await;
    let error = ended.expect("the call ends").expect_err("nobody answers");
    assert!(!error.may_have_arrived(), "{error}");
}

/// Guards against calls to a stopped process that wait for one another: reports
/// of slow servers kept the poll of an entry VM waiting for 6 s, and with it a
/// configuration.
#[tokio::test]
async fn many_calls_to_a_stopped_process_end_in_time_too() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let peer = std::sync::Arc::new(rim::Peer::new(address, None));
    let limit = time::Duration::from_secs(5);
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..20 {
        let peer = std::sync::Arc::clone(&peer);
        calls.spawn(async move {
            let called = peer.call::<_, ()>(rim::Method::Observe, &0, limit).await;
            called.expect_err("nobody answers")
        });
    }
    // One attempt to connect takes 500 ms; one after the other, 20 take until the limit.
    let ended = tokio::time::timeout(time::Duration::from_secs(3), calls.join_all()).await;
    for error in ended.expect("all calls end") {
        assert!(!error.may_have_arrived(), "{error}");
    }
}

/// Guards against a call that takes the time for opening a connection on top of
/// its own: a query whose content crashed servers waits 100 ms for the members
/// that it warns.
#[tokio::test]
async fn the_limit_of_a_call_covers_its_connection() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let peer = rim::Peer::new(address, None);
    let start = time::Instant::now();
    let limit = time::Duration::from_millis(50);
    let called = peer.call::<_, ()>(rim::Method::Warn, &0, limit).await;
    let error = called.expect_err("nobody answers");
    assert!(!error.may_have_arrived(), "{error}");
    let elapsed = start.elapsed();
    // Below the limit for opening a connection, 500 ms.
    assert!(elapsed < time::Duration::from_millis(400), "{elapsed:?}");
}
