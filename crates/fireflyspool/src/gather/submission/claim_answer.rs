//! Answers to the opening of a claim.

use std::time;

/// What the replicated log says to the opening of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The claim is open for this coordinator.
    Opened,
    /// The request id ran before, with this receipt.
    Ran(String),
    /// The request id is claimed by another sending and has no recorded end.
    Pending,
    /// The request id is known with other content.
    Conflict,
    /// The request id is older than the retention of claims.
    TooOld,
    /// No claim was opened; nothing of it will be committed later.
    Refused {
        /// When to try again.
        retry_after: time::Duration,
    },
    /// The answer was lost; the claim may be open.
    Lost,
}
