//! Actions that a query asks its driver to execute.

use crate::{dispatch, gather, ids, outcome};

/// Action of one query; a batch is executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send sub-requests to an owner in one call.
    Dispatch {
        /// Entry VM that owns the chosen backend servers.
        owner: ids::NodeId,
        /// Sub-requests for it.
        subs: Vec<dispatch::SubRequest>,
    },
    /// Cancel sub-requests whose answers are no longer needed.
    Cancel {
        /// Entry VM that the sub-requests were sent to.
        owner: ids::NodeId,
        /// Numbers of the sub-requests.
        subs: Vec<ids::SubRequestId>,
    },
    /// Warn all members that the content crashed backend servers. The driver waits for
    /// that before it reports the outcome, because the caller may then send the request
    /// again through another member.
    Warn {
        /// Hash of the content.
        fingerprint: ids::Fingerprint,
        /// Backend servers that crashed, one entry per reset connection.
        servers: Vec<ids::ServerName>,
    },
    /// Report the outcome; sent exactly once, as the last action of a query.
    Finish(outcome::Outcome),
    /// Log a routing decision.
    Log(gather::Decision),
}
