//! Durable state at start-up.

use crate::consensus;

/// What a replica made durable before a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Last term and vote; the default if none was recorded.
    pub vote: consensus::Vote,
    /// Latest snapshot, if one was taken or received.
    pub snapshot: Option<consensus::Snapshot>,
    /// Entries that follow the snapshot, without gaps.
    pub entries: Vec<consensus::Entry>,
}
