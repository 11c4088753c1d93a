//! Reply to a search of one shard.

use crate::{backend, ids, outcome};

/// Hits of one shard, with the identity of what produced them.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SearchReply {
    /// Attempt that this answers.
    pub attempt: ids::AttemptId,
    /// Incarnation of the backend server.
    pub incarnation: ids::Incarnation,
    /// Index version that was searched.
    pub version: ids::IndexVersion,
    /// Shard that was searched.
    pub shard: ids::ShardNumber,
    /// Hits, best first.
    pub hits: Vec<outcome::Hit>,
    /// Load when the reply was made.
    pub load: backend::Load,
}
