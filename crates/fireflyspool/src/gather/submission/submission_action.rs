//! Actions that a submission asks its driver to execute.

use crate::{dispatch, gather, ids, outcome};

/// Action of one submission; a batch is executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmissionAction {
    /// Open a claim; answered by [`gather::SubmissionEvent::Claimed`].
    OpenClaim {
        /// Request to claim.
        request: ids::RequestId,
        /// Digest of the service name and the payload.
        digest: ids::Fingerprint,
    },
    /// Send the sub-request to an owner.
    Dispatch {
        /// Entry VM that owns eligible backend servers.
        owner: ids::NodeId,
        /// Sub-request that carries the whole submission.
        sub: dispatch::SubRequest,
    },
    /// Record the result of the claimed request, which closes the claim.
    Record {
        /// Request that was claimed.
        request: ids::RequestId,
        /// Result to record.
        end: gather::ClaimEnd,
    },
    /// Report the outcome; sent exactly once.
    Finish(outcome::Outcome),
}
