//! State of a completed rollout.

/// Only the target version serves.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Completed {
    /// Time of the step that completed it, in milliseconds since the Unix epoch.
    pub ended: u64,
}
