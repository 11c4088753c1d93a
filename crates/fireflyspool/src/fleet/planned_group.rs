//! Group of shards that is to be delegated.

use std::net;

/// Shards of a query that another entry VM is to gather.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedGroup {
    /// Listener of the other entry VM.
    pub delegate: net::SocketAddr,
    /// Indexes of the shards in the query, ascending.
    pub shards: Vec<usize>,
}
