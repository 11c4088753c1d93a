//! What happens to a submission.

use crate::{dispatch, gather, ids};

/// Event of one submission.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmissionEvent {
    /// The opening of the claim was answered.
    Claimed(gather::ClaimAnswer),
    /// An owner ended the sub-request.
    Replied {
        /// Number of the sub-request.
        sub: ids::SubRequestId,
        /// Owner that ended it.
        owner: ids::NodeId,
        /// Its end.
        outcome: dispatch::SubOutcome,
    },
    /// An owner cannot be reached; what was sent to it may have run.
    OwnerLost {
        /// The owner.
        owner: ids::NodeId,
    },
    /// The deadline has come.
    Timer,
    /// The caller went away.
    CallerGone,
}
