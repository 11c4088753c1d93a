//! Search of one shard.

use crate::ids;

/// Sub-request to one backend server for one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SearchRequest {
    /// Attempt, returned with the reply.
    pub attempt: ids::AttemptId,
    /// Request of the caller, for logs.
    pub request: ids::RequestId,
    /// Collection to search.
    pub collection: ids::CollectionName,
    /// Index version to search.
    pub version: ids::IndexVersion,
    /// Shard to search.
    pub shard: ids::ShardNumber,
    /// Text to search for.
    pub text: String,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    /// Most hits to return.
    pub limit: u32,
}
