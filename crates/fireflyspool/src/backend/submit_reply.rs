//! Reply to a submission.

use crate::ids;

/// Receipt of a submission that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SubmitReply {
    /// Attempt that this answers.
    pub attempt: ids::AttemptId,
    /// Incarnation of the backend server.
    pub incarnation: ids::Incarnation,
    /// Receipt for the caller.
    pub receipt: String,
}
