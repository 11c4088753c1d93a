//! Non-idempotent request to a backend server.

use crate::ids;

/// Submission that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SubmitRequest {
    /// Attempt; the reply repeats it.
    pub attempt: ids::AttemptId,
    /// Caller's request that this attempt belongs to.
    pub request: ids::RequestId,
    /// Content of the submission; opaque to the tier.
    pub payload: String,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
}
