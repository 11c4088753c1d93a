//! Result of opening a claim.

use std::time;

/// Answer of the replicated control state to the opening of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The claim is open for this coordinator.
    Opened,
    /// The request ran before, with this receipt.
    Ran(String),
    /// Another submission claimed the request id, and no result is recorded.
    Pending,
    /// The request id is known with other content.
    Conflict,
    /// The request id is older than the retention of claims.
    TooOld,
    /// No claim was opened, and none will be committed later.
    Refused {
        /// Time after which the caller may try again.
        retry_after: time::Duration,
    },
    /// The answer was lost; the claim may be open.
    Lost,
}
