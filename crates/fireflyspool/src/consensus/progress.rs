//! Replication progress of one follower.

use std::time;

use crate::{consensus, ids};

/// What the leader knows of one follower.
#[derive(Debug)]
pub(super) struct Progress {
    /// Next entry to send.
    pub(super) next_index: ids::LogIndex,
    /// Last entry up to which the follower's log is known to match.
    pub(super) match_index: ids::LogIndex,
    /// Send time of the latest acknowledged message.
    pub(super) acknowledged: Option<time::Instant>,
    /// Set until an append is accepted. One message at a time then looks for the last matching
    /// entry, so that repeated replies do not multiply messages.
    pub(super) probing: bool,
    /// Snapshot that is being sent, if any.
    pub(super) transfer: Option<consensus::snapshot_transfer::SnapshotTransfer>,
}

impl Progress {
    pub(super) fn new(next_index: ids::LogIndex) -> Self {
        Self {
            next_index,
            match_index: 0,
            acknowledged: None,
            probing: true,
            transfer: None,
        }
    }
}
