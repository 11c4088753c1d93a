//! What happens to a query.

use crate::{dispatch, ids};

/// Event of one query.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An owner ended a sub-request.
    Replied {
        /// Number of the sub-request.
        sub: ids::SubRequestId,
        /// Owner that ended it.
        owner: ids::NodeId,
        /// Its end.
        outcome: dispatch::SubOutcome,
    },
    /// An owner cannot be reached; everything under way there may have run.
    OwnerLost {
        /// The owner.
        owner: ids::NodeId,
    },
    /// The time of [`super::Coordinator::next_wake`] has come.
    Timer,
    /// Nobody waits for the outcome any more.
    CallerGone,
}
