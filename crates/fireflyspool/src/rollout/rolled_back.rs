//! State of a rollout that was rolled back.

use crate::rollout;

/// The target version gets no requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RolledBack {
    /// Time of the step that rolled it back, in milliseconds since the Unix epoch.
    pub ended: u64,
    /// Why it was rolled back.
    pub reason: rollout::Reason,
}
