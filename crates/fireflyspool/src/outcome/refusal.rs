//! Refusal of a request that did not run.

use std::time;

use crate::{ids, outcome};

/// States that nothing of a request ran, and what the caller can do.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Refusal {
    /// Request that was refused.
    pub request: ids::RequestId,
    /// Cause of the refusal.
    pub reason: outcome::RefusalReason,
    /// Detail for people.
    pub detail: String,
    /// Snapshot that was chosen, if the request came that far.
    pub snapshot: Option<outcome::Snapshot>,
    /// Deadline that applied, counted from receipt.
    pub deadline: time::Duration,
    /// When to try again; `None` if trying again does not help.
    pub retry_after: Option<time::Duration>,
    /// Other addresses of the tier that may serve the request.
    pub addresses: Vec<String>,
}
