//! Routing decision for the log.

use crate::{gather, ids, outcome};

/// Choice of an owner for a shard, as written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Decision {
    /// Identifier that the caller gave to the request.
    pub request: ids::RequestId,
    /// Snapshot that is searched.
    pub snapshot: outcome::Snapshot,
    /// Shard that the decision is about.
    pub shard: ids::ShardNumber,
    /// Owner that was chosen.
    pub owner: ids::NodeId,
    /// Why the sub-request was sent.
    pub reason: gather::AttemptReason,
    /// Other candidates, each with the cause for which it was not chosen.
    pub passed_over: Vec<gather::PassedOver>,
}
