//! Why a rollout is rolled back.

/// Reason in the log lines and the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The target version fails more often than the old one on the same route.
    Failures,
    /// The target version is slow or fails more often than the old one on the same route.
    SlowResponses,
    /// No backend server of the target version serves.
    NoServers,
    /// The target version has answered too few requests of a busy service.
    TooFewResponses,
    /// The deadline has passed.
    DeadlinePassed,
}
