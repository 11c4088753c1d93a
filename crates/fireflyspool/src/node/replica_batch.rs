//! Messages between replicas in one call.

use std::net;

use crate::consensus;

/// Messages of one replica, with the way back to it.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ReplicaBatch {
    /// Listener of the sender.
    pub from: net::SocketAddr,
    /// The messages.
    pub envelopes: Vec<consensus::Envelope>,
}
