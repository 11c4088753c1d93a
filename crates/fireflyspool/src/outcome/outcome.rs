//! The one thing a caller is told.

use crate::{ids, outcome};

/// End of a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// Every shard of the shard map answered.
    Complete(outcome::Answer),
    /// Some shards are missing; the answer names them.
    Partial(outcome::Answer),
    /// Refused, and nothing of it ran on any backend server.
    NotRun(outcome::Refusal),
    /// A submission ran; carries the receipt of the backend server.
    Submitted {
        /// Request that ran.
        request: ids::RequestId,
        /// Receipt of the backend server.
        receipt: String,
    },
    /// An identical request is known; carries its recorded receipt.
    Known {
        /// Request that ran earlier.
        request: ids::RequestId,
        /// Receipt recorded for it.
        receipt: String,
    },
    /// The request may have run.
    Unknown {
        /// Request whose outcome is unknown.
        request: ids::RequestId,
        /// What is known.
        detail: String,
    },
}

impl Outcome {
    /// Name of the variant as it stands in logs, metrics and JSON.
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
