//! Answer to the caller.

use std::time;

use crate::forward;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response of one backend server, unchanged.
    Passed(forward::Response),
    /// Records of several shards, merged.
    Gathered {
        /// Signatures of the responses in the answer.
        signatures: Vec<String>,
        /// Number of shards without a response.
        missing: usize,
        /// Greatest records, greatest first.
        body: bytes::Bytes,
    },
    /// The request did not run and will not.
    Refused {
        /// Time after which the caller may try again.
        retry_after: time::Duration,
    },
    /// The request carries no key of a client account; it did not run.
    Unauthorized,
    /// The request did not run and will not: its client account has used its quota.
    Limited {
        /// Time after which the account has a token for it.
        retry_after: time::Duration,
    },
    /// No route matches the request.
    NoRoute,
    /// No backend server gave a usable response; the request may have run.
    Failed,
    /// The deadline passed; the request may have run.
    TimedOut,
}

impl Outcome {
    /// Name in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Passed(_) => "passed",
            Self::Gathered { missing: 0, .. } => "complete",
            Self::Gathered { .. } => "partial",
            Self::Refused { .. } => "refused",
            Self::Unauthorized => "unauthorized",
            Self::Limited { .. } => "limited",
            Self::NoRoute => "no_route",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
        }
    }
}
