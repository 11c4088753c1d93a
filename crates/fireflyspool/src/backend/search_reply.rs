//! Reply to a search of one shard.

use crate::{backend, ids, outcome};

/// Hits of one shard, with the incarnation and index version that produced them.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SearchReply {
    /// Attempt that was answered.
    pub attempt: ids::AttemptId,
    /// Incarnation of the backend server.
    pub incarnation: ids::Incarnation,
    /// Index version that was searched.
    pub version: ids::IndexVersion,
    /// Shard that was searched.
    pub shard: ids::ShardNumber,
    /// Hits, best first.
    pub hits: Vec<outcome::Hit>,
    /// Load of the backend server when it replied.
    pub load: backend::Load,
}
