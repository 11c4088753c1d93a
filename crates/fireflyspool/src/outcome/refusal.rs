//! Refusal of a request that did not run.

use std::time;

use crate::{ids, outcome};

/// Why a request did not run, and what the caller can do.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Refusal {
    /// Identifier that the caller gave to the request.
    pub request: ids::RequestId,
    /// Cause of the refusal.
    pub reason: outcome::RefusalReason,
    /// Explanation for people.
    pub detail: String,
    /// Snapshot that was chosen; `None` if the request was refused before planning.
    pub snapshot: Option<outcome::Snapshot>,
    /// Deadline that applied, counted from the receipt of the request.
    pub deadline: time::Duration,
    /// Time after which to try again; `None` if that does not help.
    pub retry_after: Option<time::Duration>,
    /// Addresses of other entry VMs that may serve the request.
    pub addresses: Vec<String>,
}
