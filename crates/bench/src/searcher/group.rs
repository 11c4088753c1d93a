//! Many searchers of one service.

use fireflyspool::{backend, ids};

use crate::searcher;

/// Searchers of one service spread over zones and shards.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Service; searchers are named `<service>-<number>`.
    pub service: ids::ServiceName,
    /// Number of searchers.
    pub count: u32,
    /// Zones.
    pub zones: Vec<ids::ZoneName>,
    /// Collection.
    pub collection: ids::CollectionName,
    /// Index version.
    pub version: ids::IndexVersion,
    /// Shards of the index version.
    pub shards: u32,
    /// Limits and faults of each.
    #[serde(default)]
    pub behaviour: searcher::Behaviour,
}

impl Group {
    /// Profiles of all searchers.
    pub fn profiles(&self) -> Vec<searcher::Profile> {
        let shards = self.shards.max(1);
        (0..self.count)
            .filter_map(|number| {
                // Shifting by the replica number places replicas of a shard in
                // different zones even if the zones divide the shards.
                let place = usize::try_from(number % shards + number / shards).ok()?;
                let zone = self.zones.get(place % self.zones.len().max(1))?;
                Some(searcher::Profile {
                    name: format!("{}-{number}", self.service),
                    service: self.service.clone(),
                    zone: zone.clone(),
                    address: super::profile::any_port(),
                    hosted: vec![backend::HostedShard {
                        collection: self.collection.clone(),
                        version: self.version,
                        shard: number % shards,
                    }],
                    behaviour: self.behaviour.clone(),
                })
            })
            .collect()
    }
}
