//! Non-idempotent request to a backend server.

use crate::ids;

/// Submission that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SubmitRequest {
    /// Attempt, returned with the reply.
    pub attempt: ids::AttemptId,
    /// Request of the caller.
    pub request: ids::RequestId,
    /// Content.
    pub payload: String,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
}
