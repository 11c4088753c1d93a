//! Backend servers of one service.

use fireflyspool::ids;

use crate::searcher;

/// Searchers of one service and the collection they hold.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: ids::ServiceName,
    /// Number of searchers at scale 1.
    pub searchers: u32,
    /// Replicas of each shard; searchers left over are further replicas.
    pub replicas: u32,
    /// Collection.
    pub collection: ids::CollectionName,
    /// Limits and faults of each searcher.
    #[serde(default)]
    pub behaviour: searcher::Behaviour,
}

impl Service {
    /// Number of searchers at a scale; every replica of one shard remains.
    pub fn scaled(&self, scale: f64) -> u32 {
        let scaled = (f64::from(self.searchers) * scale).round();
        // The cast saturates; a site has a few hundred searchers at most.
        (scaled as u32).max(self.replicas)
    }

    /// Number of shards at a scale.
    pub fn shards(&self, scale: f64) -> u32 {
        (self.scaled(scale) / self.replicas.max(1)).max(1)
    }
}
