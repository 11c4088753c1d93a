//! Reply of a backend server that refused a request.

use crate::ids;

/// States that an attempt was refused before it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RefusedReply {
    /// Attempt that was refused.
    pub attempt: ids::AttemptId,
    /// Whether any part of the attempt ran; false in a truthful refusal.
    pub ran: bool,
    /// Time for which the server will shed load, in milliseconds; absent if it gave none.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}
