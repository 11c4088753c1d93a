//! An owner that can serve a shard.

use crate::ids;

/// Entry VM that owns eligible replicas of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The entry VM.
    pub owner: ids::NodeId,
    /// Eligible replicas of the shard that it owns.
    pub replicas: u32,
    /// Concurrent requests that these replicas bear together.
    pub slots: u32,
}
