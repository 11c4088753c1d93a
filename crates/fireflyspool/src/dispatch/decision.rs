//! Record of a placement decision.

use std::time;

use crate::{dispatch, ids, outcome};

/// Backend server that a sub-request was sent to, or why it was not sent, with the alternatives.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Decision {
    /// Request of the caller.
    pub request: ids::RequestId,
    /// Snapshot to search; `None` for a submission.
    pub snapshot: Option<outcome::Snapshot>,
    /// Shard to search; `None` for a submission.
    pub shard: Option<ids::ShardNumber>,
    /// Chosen backend server; `None` if the sub-request was not placed.
    pub server: Option<ids::ServerName>,
    /// Attempt at that backend server; `None` if the sub-request was not placed.
    pub attempt: Option<ids::AttemptId>,
    /// Why it was placed now, or not at all.
    pub reason: dispatch::PlacementReason,
    /// Time since the sub-request arrived.
    pub waited: time::Duration,
    /// Other backend servers that could serve it, with the causes; at most eight.
    pub passed_over: Vec<(ids::ServerName, dispatch::PassCause)>,
}
