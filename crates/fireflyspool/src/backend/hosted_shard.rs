//! Shard that a backend server hosts.

use crate::ids;

/// Shard of one index version of one collection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HostedShard {
    /// Collection that the shard is part of.
    pub collection: ids::CollectionName,
    /// Index version that the shard belongs to.
    pub version: ids::IndexVersion,
    /// Shard number in the shard map of that version.
    pub shard: ids::ShardNumber,
}
