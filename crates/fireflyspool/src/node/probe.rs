//! Probe of a content under which backend servers may crash.
//!
//! It goes on to its end even if the request is given up, because the next requests of the
//! content depend on what it shows.

use std::{sync, time};

use tokio::sync::oneshot;

use crate::{containment, forward, ids, node};

/// Runs a probe in a task of its own, and returns its end to the request if that still waits.
pub(super) async fn run(
    forwarding: sync::Arc<node::Forwarding>,
    content: ids::Fingerprint,
    send: forward::Send,
    attempt: impl Future<Output = forward::AttemptEnd> + Send + 'static,
) -> forward::AttemptEnd {
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let end = attempt.await;
        // The request may be given up after it was sent the end and before it has read it.
        record(&forwarding, content, &send, &end);
        if sender.send(end).is_err() {
            slog::info!(forwarding.process.logger, "probe ended after its request";
                "content" => content, "server" => &send.server);
        }
    });
    // The task sends unless it panics.
    receiver.await.unwrap_or(forward::AttemptEnd::Broken)
}

/// Records what the end of a probe shows; the request may record the same again.
fn record(
    forwarding: &node::Forwarding,
    content: ids::Fingerprint,
    send: &forward::Send,
    end: &forward::AttemptEnd,
) {
    let mut fleet = forwarding.fleet();
    match end {
        forward::AttemptEnd::Answered(_) => fleet.clear_content(content),
        forward::AttemptEnd::Crashed => {
            let crash = containment::Crash {
                server: send.server.clone(),
                born: send.born,
                probe: true,
                unseen: false,
            };
            fleet.record_crash(content, crash, time::Instant::now());
            fleet.end_probe(content);
        }
        _ => fleet.end_probe(content),
    }
    forwarding.report_observations(&mut fleet);
}
