//! Outcome of a claimed request.

use crate::{ids, state};

/// Report of how a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ClaimOutcome {
    /// Id of the request.
    pub request: ids::RequestId,
    /// Claimant that held the claim.
    pub claimant: u64,
    /// How it ended.
    pub end: state::ClaimEnd,
}
