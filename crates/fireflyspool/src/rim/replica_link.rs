//! Messages to one replica.

use std::{sync, time};

use tokio::sync::mpsc;

use crate::{consensus, rim};

/// Messages to one replica that may wait; more are dropped and sent again by
/// the replicated log itself.
const CAPACITY: usize = 256;

/// Messages that travel in one call.
const BATCH: usize = 64;

/// Starts to send messages on a runtime; they travel as what `wrap` makes of them.
pub fn replica_link<T>(
    runtime: &tokio::runtime::Handle,
    peer: sync::Arc<rim::Peer>,
    timeout: time::Duration,
    wrap: impl Fn(Vec<consensus::Envelope>) -> T + Send + 'static,
) -> mpsc::Sender<consensus::Envelope>
where
    T: serde::Serialize + Send + Sync + 'static,
{
    let (sender, mut receiver) = mpsc::channel(CAPACITY);
    runtime.spawn(async move {
        let mut envelopes = Vec::new();
        while receiver.recv_many(&mut envelopes, BATCH).await > 0 {
            let message = wrap(std::mem::take(&mut envelopes));
            // A lost batch is sent again by the replicated log.
            let _ = peer
                .call::<_, ()>(rim::Method::Consensus, &message, timeout)
                .await;
        }
    });
    sender
}
