//! Events that the driver reports to a query.

use crate::{dispatch, ids};

/// Event of one query.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An owner reported the result of a sub-request.
    Replied {
        /// Number of the sub-request.
        sub: ids::SubRequestId,
        /// Owner that replied.
        owner: ids::NodeId,
        /// Result of the sub-request.
        outcome: dispatch::SubOutcome,
    },
    /// An owner cannot be reached; every attempt under way there may have run.
    OwnerLost {
        /// Entry VM that cannot be reached.
        owner: ids::NodeId,
    },
    /// The time given by [`super::Coordinator::next_wake`] was reached.
    Timer,
    /// The caller disconnected and no longer waits for the outcome.
    CallerGone,
}
