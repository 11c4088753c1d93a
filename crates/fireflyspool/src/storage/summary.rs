//! Summary of a data folder.

use crate::{consensus, ids, storage};

/// Content of a data folder, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Summary {
    /// Replica that the folder belongs to.
    pub identity: storage::Identity,
    /// Term and vote.
    pub vote: consensus::Vote,
    /// Last entry that the snapshot covers, if there is a snapshot.
    pub snapshot_index: Option<ids::LogIndex>,
    /// Size of the snapshot file in bytes.
    pub snapshot_bytes: u64,
    /// First entry of the log, if there is one.
    pub first_index: Option<ids::LogIndex>,
    /// Last entry of the log, if there is one.
    pub last_index: Option<ids::LogIndex>,
    /// Size of the log file in bytes without an incomplete last frame.
    pub log_bytes: u64,
    /// Size of an incomplete last frame in bytes, 0 if there is none.
    pub torn_bytes: u64,
    /// Latest entries, oldest first.
    pub last_entries: Vec<consensus::Entry>,
}
