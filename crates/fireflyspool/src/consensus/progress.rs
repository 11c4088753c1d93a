//! Replication progress of one follower.

use std::time;

use crate::ids;

/// What the leader knows of one follower.
#[derive(Debug)]
pub(super) struct Progress {
    /// Next entry to send.
    pub(super) next: ids::LogIndex,
    /// The follower's log agrees up to here.
    pub(super) matched: ids::LogIndex,
    /// Send time of the latest acknowledged message.
    pub(super) acknowledged: Option<time::Instant>,
    /// Index of the snapshot that is being sent, and the position of the next part.
    pub(super) transfer: Option<(ids::LogIndex, u64)>,
}

impl Progress {
    pub(super) fn new(next: ids::LogIndex) -> Self {
        Self {
            next,
            matched: 0,
            acknowledged: None,
            transfer: None,
        }
    }
}
