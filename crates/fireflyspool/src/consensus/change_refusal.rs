//! Reasons to refuse a membership change.

/// Why a leader refused a membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeRefusal {
    /// The previous change, or the first entry of the term, is not committed.
    #[error("another membership change or the leader's first entry is not committed yet")]
    Pending,
    /// The learner lacks committed entries.
    #[error("the learner has not caught up")]
    NotCaughtUp,
    /// The node is a member already.
    #[error("the node is a member already")]
    Present,
    /// The node is not a member.
    #[error("the node is not a member")]
    Absent,
    /// The group would be left without a voter.
    #[error("the last voter cannot be removed")]
    LastVoter,
}
