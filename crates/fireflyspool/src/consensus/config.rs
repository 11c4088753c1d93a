//! Settings of a replica.

use std::time;

use crate::ids;

/// Settings of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of this replica.
    pub node: ids::NodeId,
    /// Incarnation of its data folder.
    pub incarnation: ids::Incarnation,
    /// Founding members; empty for a replica that joins an existing group.
    pub founding: Vec<ids::NodeId>,
    /// Interval of the leader's heartbeats.
    pub heartbeat: time::Duration,
    /// Shortest election timeout; followers refuse votes for this long after hearing the leader.
    pub election_min: time::Duration,
    /// Longest election timeout; a leader without a majority for this long steps down.
    pub election_max: time::Duration,
    /// Greatest age of a majority's acknowledgement with which the leader grants leases.
    pub leader_lease: time::Duration,
    /// Most entries in one message.
    pub batch_entries: usize,
    /// Most bytes of entries in one message; a single larger entry goes alone.
    pub batch_bytes: usize,
    /// Most entries sent to one follower ahead of its acknowledgement.
    pub window_entries: u64,
    /// Most bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Entries kept in memory below a snapshot, so that a follower that lags slightly needs none.
    pub kept_entries: u64,
}

impl Config {
    /// Settings with the default times and limits.
    pub fn new(
        node: ids::NodeId,
        incarnation: ids::Incarnation,
        mut founding: Vec<ids::NodeId>,
    ) -> Self {
        founding.sort_unstable();
        founding.dedup();
        Self {
            node,
            incarnation,
            founding,
            heartbeat: time::Duration::from_millis(100),
            election_min: time::Duration::from_millis(400),
            election_max: time::Duration::from_millis(800),
            // A quarter below the shortest election timeout covers clocks of different speed.
            leader_lease: time::Duration::from_millis(300),
            batch_entries: 256,
            batch_bytes: 256 * 1024,
            window_entries: 4096,
            chunk_bytes: 256 * 1024,
            kept_entries: 256,
        }
    }
}
