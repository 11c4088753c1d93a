//! Shard that a backend server hosts.

use crate::ids;

/// Shard of one index version of one collection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HostedShard {
    /// Collection.
    pub collection: ids::CollectionName,
    /// Index version.
    pub version: ids::IndexVersion,
    /// Shard number in the shard map of that version.
    pub shard: ids::ShardNumber,
}
