//! Submission of a non-idempotent request.

use std::time;

use crate::ids;

/// Submission as the caller wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitStatement {
    /// Service that runs it.
    pub service: ids::ServiceName,
    /// Request id, the same in every resend.
    pub request: ids::RequestId,
    /// Content.
    pub body: String,
    /// Deadline, counted from receipt.
    pub within: Option<time::Duration>,
}
