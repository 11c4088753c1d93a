//! Records that a replica makes durable.

use crate::consensus;

/// Durable change of a replica's state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Replaces term and vote.
    Vote(consensus::Vote),
    /// Appends an entry, after removing any entries from its index on.
    Entry(consensus::Entry),
    /// Replaces the snapshot and the whole log.
    Snapshot {
        /// New snapshot.
        snapshot: consensus::Snapshot,
        /// Entries that follow it.
        suffix: Vec<consensus::Entry>,
        /// Current term and vote.
        vote: consensus::Vote,
    },
}
