//! Entry of the replicated log.

use crate::{consensus, ids};

/// Entry at one position of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Position, from 1.
    pub index: ids::LogIndex,
    /// Term of the leader that created it.
    pub term: ids::Term,
    /// No-op, command or member list.
    pub content: consensus::Content,
}
