//! Events that the driver reports to a submission.

use crate::{dispatch, gather, ids};

/// Event of one submission.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmissionEvent {
    /// The opening of the claim was answered.
    Claimed(gather::ClaimAnswer),
    /// An owner reported the result of the sub-request.
    Replied {
        /// Number of the sub-request.
        sub: ids::SubRequestId,
        /// Owner that replied.
        owner: ids::NodeId,
        /// Result of the sub-request.
        outcome: dispatch::SubOutcome,
    },
    /// An owner cannot be reached; a sub-request sent to it may have run.
    OwnerLost {
        /// Entry VM that cannot be reached.
        owner: ids::NodeId,
    },
    /// The deadline was reached.
    Timer,
    /// The caller disconnected.
    CallerGone,
}
