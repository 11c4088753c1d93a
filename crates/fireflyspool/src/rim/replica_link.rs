//! Outgoing queue of consensus messages to one replica.

use std::{sync, time};

use tokio::sync::mpsc;

use crate::{consensus, rim};

/// Messages that may be queued for one replica; further ones are dropped, and
/// the replicated log sends them again.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Messages sent in one call.
const MAX_BATCH_MESSAGES: usize = 64;

/// Spawns a task that sends queued messages in batches, each converted to a
/// call parameter by `to_parameter`.
pub fn replica_link<T>(
    runtime: &tokio::runtime::Handle,
    peer: sync::Arc<rim::Peer>,
    timeout: time::Duration,
    to_parameter: impl Fn(Vec<consensus::Envelope>) -> T + Send + 'static,
) -> mpsc::Sender<consensus::Envelope>
where
    T: serde::Serialize + Send + Sync + 'static,
{
    let (sender, mut receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
    runtime.spawn(async move {
        let mut envelopes = Vec::new();
        while receiver.recv_many(&mut envelopes, MAX_BATCH_MESSAGES).await > 0 {
            let parameter = to_parameter(std::mem::take(&mut envelopes));
            // The replicated log sends lost messages again.
            let _ = peer
                .call::<_, ()>(rim::Method::Consensus, &parameter, timeout)
                .await;
        }
    });
    sender
}
