//! Reply to a submission.

use crate::ids;

/// Confirms that a submission ran.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SubmitReply {
    /// Attempt that ran.
    pub attempt: ids::AttemptId,
    /// Incarnation of the backend server.
    pub incarnation: ids::Incarnation,
    /// Receipt for the caller.
    pub receipt: String,
}
