//! One deployment.

use std::time;

use fireflyspool::{ids, outcome};

use crate::{duration_text, searcher, site};

/// Index version that every collection starts with.
const FIRST_VERSION: ids::IndexVersion = 1;

/// Zones and services of a deployment.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Site {
    /// Share of the searchers that is run. Replicas stay and shards shrink with it, so the rate
    /// that a service can serve hardly changes and the work of one request shrinks.
    pub scale: f64,
    /// Availability zones.
    pub zones: Vec<ids::ZoneName>,
    /// One-way delay between zones, added to every reply of a searcher.
    #[serde(with = "duration_text")]
    pub zone_delay: time::Duration,
    /// One-way delay between callers and the tier, added before and after every request.
    #[serde(with = "duration_text")]
    pub caller_delay: time::Duration,
    /// Services.
    pub services: Vec<site::Service>,
}

impl Site {
    /// Groups of searchers, limited to the given zones unless none are given.
    pub fn profiles(&self, zones: &[ids::ZoneName]) -> Vec<searcher::Profile> {
        let groups = self.services.iter().map(|service| searcher::Group {
            service: service.name.clone(),
            count: service.scaled(self.scale),
            zones: self.zones.clone(),
            collection: service.collection.clone(),
            version: FIRST_VERSION,
            shards: service.shards(self.scale),
            behaviour: searcher::Behaviour {
                delay: self.zone_delay,
                ..service.behaviour.clone()
            },
        });
        groups
            .flat_map(|group| group.profiles())
            .filter(|profile| zones.is_empty() || zones.contains(&profile.zone))
            .collect()
    }

    /// Shard counts of the first index versions.
    pub fn versions(&self) -> Vec<(outcome::Snapshot, u32)> {
        let services = self.services.iter();
        services
            .map(|service| {
                let snapshot = outcome::Snapshot {
                    collection: service.collection.clone(),
                    version: FIRST_VERSION,
                };
                (snapshot, service.shards(self.scale))
            })
            .collect()
    }
}
