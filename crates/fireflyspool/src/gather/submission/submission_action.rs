//! What a submission asks its driver to do.

use crate::{dispatch, gather, ids, outcome};

/// Action of one submission; a batch is executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmissionAction {
    /// Commit a claim; answered by [`gather::SubmissionEvent::Claimed`].
    OpenClaim {
        /// Request to claim.
        request: ids::RequestId,
        /// Digest of its content.
        digest: ids::Fingerprint,
    },
    /// Send the one sub-request to an owner.
    Dispatch {
        /// The owner.
        owner: ids::NodeId,
        /// The sub-request.
        sub: dispatch::SubRequest,
    },
    /// Record the end of the claimed request.
    Record {
        /// Request that was claimed.
        request: ids::RequestId,
        /// Its end.
        end: gather::ClaimEnd,
    },
    /// Report the outcome; happens once.
    Finish(outcome::Outcome),
}
