//! Durable vote of a replica.

use crate::ids;

/// Current term and the candidate that got this replica's vote in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Vote {
    /// Current term.
    pub term: ids::Term,
    /// Candidate voted for in this term.
    pub candidate: Option<ids::NodeId>,
}
