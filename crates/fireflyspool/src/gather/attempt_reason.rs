//! Reasons for an attempt.

use crate::peak;

/// Why a sub-request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptReason {
    /// First attempt for the shard.
    First,
    /// First attempt for the shard after the query changed to another index version.
    Moved,
    /// The attempt under way is slow.
    Hedge,
    /// The previous attempt failed or was refused by an overloaded owner.
    Retry,
    /// The previous owner stated that the sub-request did not run there.
    Redirect,
}

impl AttemptReason {
    /// Cause under which the peak meter counts it.
    pub fn peak_cause(self) -> peak::Cause {
        match self {
            Self::First | Self::Moved => peak::Cause::First,
            Self::Hedge => peak::Cause::Hedge,
            Self::Retry | Self::Redirect => peak::Cause::Retry,
        }
    }
}
