//! Search of one shard.

use crate::ids;

/// Sub-request to one backend server for one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SearchRequest {
    /// Attempt; the reply repeats it.
    pub attempt: ids::AttemptId,
    /// Caller's request that this attempt belongs to, for logs.
    pub request: ids::RequestId,
    /// Collection to search.
    pub collection: ids::CollectionName,
    /// Index version to search.
    pub version: ids::IndexVersion,
    /// Shard to search.
    pub shard: ids::ShardNumber,
    /// Text to search for.
    pub text: String,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of hits to return.
    pub limit: u32,
}
