//! Owner that can serve a shard.

use crate::ids;

/// Entry VM that owns eligible replicas of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Entry VM that owns the replicas.
    pub owner: ids::NodeId,
    /// Number of eligible replicas of the shard that it owns.
    pub replicas: u32,
    /// Concurrent requests that these replicas can serve together.
    pub slots: u32,
}
