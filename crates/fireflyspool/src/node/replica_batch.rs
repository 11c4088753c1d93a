//! Consensus messages between replicas in one call.

use std::net;

use crate::consensus;

/// Consensus messages of one replica, with the address for replies.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ReplicaBatch {
    /// Listener of the sender.
    pub from: net::SocketAddr,
    /// Messages in the order in which they were sent.
    pub envelopes: Vec<consensus::Envelope>,
}
