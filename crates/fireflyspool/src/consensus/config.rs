//! Configuration of a replica.

use std::time;

use crate::ids;

/// Default shortest and longest election timeout; each spans several heartbeats.
const ELECTION_TIMEOUT_RANGE: (time::Duration, time::Duration) = (
    time::Duration::from_millis(400),
    time::Duration::from_millis(800),
);

/// Identity, times and limits of a replica.
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
    /// How long the leader may grant leases after sending a message that a majority acknowledged.
    pub leader_lease: time::Duration,
    /// Most entries in one message.
    pub batch_entries: usize,
    /// Most bytes of entries in one message; a single larger entry goes alone.
    pub batch_bytes: usize,
    /// Most entries in flight to one follower beyond what it acknowledged.
    pub window_entries: u64,
    /// Most bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Entries kept in memory below a snapshot; a follower that lags by fewer needs no snapshot.
    pub kept_entries: u64,
}

impl Config {
    /// Configuration with the default times and limits.
    pub fn new(
        node: ids::NodeId,
        incarnation: ids::Incarnation,
        mut founding: Vec<ids::NodeId>,
    ) -> Self {
        founding.sort_unstable();
        founding.dedup();
        let (election_min, election_max) = ELECTION_TIMEOUT_RANGE;
        Self {
            node,
            incarnation,
            founding,
            heartbeat: time::Duration::from_millis(100),
            election_min,
            election_max,
            leader_lease: leader_lease(election_min),
            batch_entries: 256,
            batch_bytes: 256 * 1024,
            window_entries: 4096,
            chunk_bytes: 256 * 1024,
            kept_entries: 256,
        }
    }

    /// Replaces the election timeouts and derives the leader lease from them.
    #[must_use]
    pub fn with_election_timeout(self, shortest: time::Duration, longest: time::Duration) -> Self {
        Self {
            election_min: shortest,
            election_max: longest,
            leader_lease: leader_lease(shortest),
            ..self
        }
    }
}

/// Leader lease, a quarter shorter than the shortest election timeout to allow for clock drift.
fn leader_lease(election_min: time::Duration) -> time::Duration {
    election_min * 3 / 4
}
