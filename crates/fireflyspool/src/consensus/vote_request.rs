//! Arguments of vote and pre-vote messages.

use crate::ids;

/// Request for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct VoteRequest {
    /// Term of the election; in a pre-vote, the one after the sender's current term.
    pub term: ids::Term,
    /// Last entry in the log of the sender.
    pub last_index: ids::LogIndex,
    /// Term of that entry.
    pub last_term: ids::Term,
    /// Founding members known to the sender; empty after bootstrap.
    pub founding: Vec<ids::NodeId>,
}
