//! Snapshot of the state machine.

use crate::{consensus, ids};

/// State machine after all entries up to an index.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// Last entry that it covers.
    pub index: ids::LogIndex,
    /// Term of that entry.
    pub term: ids::Term,
    /// Members in force at that entry.
    pub members: consensus::Members,
    /// State, encoded by the state machine.
    #[serde(with = "super::compact_bytes")]
    pub bytes: Vec<u8>,
}
