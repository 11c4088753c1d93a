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
    /// Report the outcome; the last action of a query, and the only one of its kind.
    Finish(outcome::Outcome),
    /// Log a routing decision.
    Log(gather::Decision),
}
