//! Role of a replica.

/// Role that a replica plays at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Follows a leader or waits for one.
    #[default]
    Follower,
    /// Asks whether an election could be won, without raising its term.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}
