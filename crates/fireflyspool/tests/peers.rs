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
