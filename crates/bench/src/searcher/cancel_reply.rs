//! Reply to a cancellation.

use fireflyspool::{backend, ids};

/// What became of an attempt that was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CancelReply {
    /// Attempt that was to be cancelled.
    pub attempt: ids::AttemptId,
    /// What became of it.
    pub state: backend::CancelState,
}
