//! What a replica asks for when it stands for election.

use crate::ids;

/// Request for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct VoteRequest {
    /// Term in which the sender stands or would stand.
    pub term: ids::Term,
    /// Last entry of the sender.
    pub last_index: ids::LogIndex,
    /// Term of that entry.
    pub last_term: ids::Term,
    /// Founding members, during formation only.
    pub founding: Vec<ids::NodeId>,
}
