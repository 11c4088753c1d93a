//! Outcome of a request.

use crate::{ids, outcome};

/// Result of a request; every request gets exactly one.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// Every shard of the shard map answered.
    Complete(outcome::Answer),
    /// Some shards are missing; the coverage of the answer names them.
    Partial(outcome::Answer),
    /// The request was refused and did not run on any backend server.
    NotRun(outcome::Refusal),
    /// A submission ran; carries the receipt of the backend server.
    Submitted {
        /// Request that ran.
        request: ids::RequestId,
        /// Receipt of the backend server.
        receipt: String,
    },
    /// The same submission ran earlier; carries the receipt recorded then.
    Known {
        /// Request that ran earlier.
        request: ids::RequestId,
        /// Receipt of the earlier run.
        receipt: String,
    },
    /// The request may or may not have run.
    Unknown {
        /// Request whose outcome is unknown.
        request: ids::RequestId,
        /// Explanation for people.
        detail: String,
    },
}

impl Outcome {
    /// Name of the variant in logs, metrics and JSON.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Complete(_) => "complete",
            Self::Partial(_) => "partial",
            Self::NotRun(_) => "not_run",
            Self::Submitted { .. } => "submitted",
            Self::Known { .. } => "known",
            Self::Unknown { .. } => "unknown",
        }
    }
}
