//! Statement that submits a non-idempotent request.

use std::time;

use crate::ids;

/// Submission as written by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitStatement {
    /// Service that runs the request.
    pub service: ids::ServiceName,
    /// Request id, which the caller repeats in every retry.
    pub request: ids::RequestId,
    /// Body of the request.
    pub body: String,
    /// Deadline, counted from receipt; absent if the caller gave none.
    pub within: Option<time::Duration>,
}
