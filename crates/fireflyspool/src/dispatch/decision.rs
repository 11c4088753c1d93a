//! Record of a placement decision.

use std::time;

use crate::{dispatch, ids, outcome};

/// Where a sub-request was placed, or why it was not, with the alternatives.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Decision {
    /// Request of the caller.
    pub request: ids::RequestId,
    /// Snapshot; `None` for a submission.
    pub snapshot: Option<outcome::Snapshot>,
    /// Shard; `None` for a submission.
    pub shard: Option<ids::ShardNumber>,
    /// Chosen backend server; `None` if it was not placed.
    pub server: Option<ids::ServerName>,
    /// Attempt at that backend server.
    pub attempt: Option<ids::AttemptId>,
    /// Reason of the decision.
    pub reason: dispatch::PlacementReason,
    /// Time it waited in the queue.
    pub waited: time::Duration,
    /// Backend servers of the shard that were not chosen, with reasons; at most eight.
    pub passed_over: Vec<(ids::ServerName, dispatch::PassCause)>,
}
