//! What the caller is answered.

use std::time;

use crate::forward;

/// Answer for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer of one backend server, unchanged.
    Passed(forward::Answer),
    /// Records of several shards.
    Gathered {
        /// Signatures of the parts in the answer.
        signatures: Vec<String>,
        /// Number of shards without a part.
        missing: usize,
        /// Greatest records, greatest first.
        body: bytes::Bytes,
    },
    /// Nothing was run and nothing will be.
    Refused {
        /// Pause after which another try may succeed.
        retry_after: time::Duration,
    },
    /// Nothing matches the request.
    NoRoute,
    /// Backend servers failed; the request may have run.
    Failed,
    /// Time ran out; the request may have run.
    TimedOut,
}

impl Verdict {
    /// Label in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Passed(_) => "passed",
            Self::Gathered { missing: 0, .. } => "complete",
            Self::Gathered { .. } => "partial",
            Self::Refused { .. } => "refused",
            Self::NoRoute => "no_route",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
        }
    }
}
