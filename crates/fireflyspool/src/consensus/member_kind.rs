//! Kinds of members.

/// Whether a member counts towards majorities.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberKind {
    /// Votes and counts towards majorities.
    Voter,
    /// Receives the log only.
    Learner,
}
