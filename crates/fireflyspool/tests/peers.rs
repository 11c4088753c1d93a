//! Timeouts of calls to processes that do not answer.

use std::time;

use fireflyspool::rim;

/// Guards against a call that waits forever for a process stopped by SIGSTOP: the
/// operating system accepts connections for it, but nothing answers the handshake.
#[tokio::test]
async fn a_call_to_a_stopped_process_times_out() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let peer = rim::Peer::new(address, None);
    let timeout = time::Duration::from_millis(200);
    let call = peer.call::<_, ()>(rim::Method::Exchange, &0, timeout);
    // Far above the timeouts of connecting and of the call, far below the default of any
    // operating system.
    let ended = tokio::time::timeout(time::Duration::from_secs(10), call).await;
    let error = ended
        .expect("the call ends")
        .expect_err("no process answers");
    assert!(!error.may_have_arrived(), "{error}");
}

/// Guards against calls to a stopped process that connect one after the other:
/// reports of slow servers delayed the poll of an entry VM by 6 s, and with it a
/// configuration.
#[tokio::test]
async fn concurrent_calls_to_a_stopped_process_time_out_together() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let peer = std::sync::Arc::new(rim::Peer::new(address, None));
    let timeout = time::Duration::from_secs(5);
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..20 {
        let peer = std::sync::Arc::clone(&peer);
        calls.spawn(async move {
            let called = peer.call::<_, ()>(rim::Method::Observe, &0, timeout).await;
            called.expect_err("no process answers")
        });
    }
    // An attempt to connect takes 500 ms; 20 in sequence would take until `timeout`.
    let ended = tokio::time::timeout(time::Duration::from_secs(3), calls.join_all()).await;
    for error in ended.expect("all calls end") {
        assert!(!error.may_have_arrived(), "{error}");
    }
}

/// Guards against a call whose timeout starts only after connecting: a query whose
/// content crashed servers waits 100 ms for the members that it warns.
#[tokio::test]
async fn the_timeout_of_a_call_includes_connecting() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let peer = rim::Peer::new(address, None);
    let start = time::Instant::now();
    let timeout = time::Duration::from_millis(50);
    let called = peer.call::<_, ()>(rim::Method::Warn, &0, timeout).await;
    let error = called.expect_err("no process answers");
    assert!(!error.may_have_arrived(), "{error}");
    let elapsed = start.elapsed();
    // Below the timeout of connecting, 500 ms.
    assert!(elapsed < time::Duration::from_millis(400), "{elapsed:?}");
}
