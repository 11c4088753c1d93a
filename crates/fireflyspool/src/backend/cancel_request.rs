//! Cancellation of an attempt.

use crate::ids;

/// Asks a backend server to stop working on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CancelRequest {
    /// Attempt to cancel.
    pub attempt: ids::AttemptId,
}
