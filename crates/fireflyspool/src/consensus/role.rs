//! Role of a replica.

/// Current role of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Follows a leader or waits for one.
    #[default]
    Follower,
    /// Collects pre-votes without raising its term.
    PreCandidate,
    /// Collects votes in an election.
    Candidate,
    /// Won the election of its term and replicates the log.
    Leader,
}
