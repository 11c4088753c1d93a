//! Outcome of a claimed request.

use crate::ids;

/// States that a claimed request ran.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClaimOutcome {
    /// Id of the request.
    pub request: ids::RequestId,
    /// Receipt of the backend server that ran it.
    pub receipt: String,
}
