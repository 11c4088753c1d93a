//! What a query asks its driver to do.

use crate::{dispatch, gather, ids, outcome};

/// Action of one query; a batch is executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send sub-requests to an owner in one call.
    Dispatch {
        /// The owner.
        owner: ids::NodeId,
        /// Sub-requests for it.
        subs: Vec<dispatch::SubRequest>,
    },
    /// Tell an owner that answers are no longer needed.
    Cancel {
        /// The owner.
        owner: ids::NodeId,
        /// Numbers of the sub-requests.
        subs: Vec<ids::SubRequestId>,
    },
    /// Warn all members that the content crashed backend servers, and wait for that
    /// before the outcome is reported: the caller may send it again elsewhere.
    Warn {
        /// Hash of the content.
        fingerprint: ids::Fingerprint,
        /// The backend servers.
        servers: Vec<ids::ServerName>,
    },
    /// Report the outcome; the last action of a query, and the only one of its kind.
    Finish(outcome::Outcome),
    /// Log a routing decision.
    Log(gather::Decision),
}
