//! Reply of a backend server that did not run a request.

use crate::ids;

/// States that an attempt was refused before it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RefusedReply {
    /// Attempt that was refused.
    pub attempt: ids::AttemptId,
    /// Whether any of it ran; false in a truthful refusal.
    pub ran: bool,
    /// Time during which the server sheds load, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}
