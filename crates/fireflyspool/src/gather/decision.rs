//! Routing decision for the log.

use crate::{gather, ids, outcome};

/// Which owner was chosen for a shard, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Decision {
    /// Request of the caller.
    pub request: ids::RequestId,
    /// Snapshot that is searched.
    pub snapshot: outcome::Snapshot,
    /// Shard that the decision is about.
    pub shard: ids::ShardNumber,
    /// Owner that was chosen.
    pub owner: ids::NodeId,
    /// Why something was sent.
    pub reason: gather::AttemptReason,
    /// Other candidates, with the reason against each.
    pub passed_over: Vec<gather::PassedOver>,
}
