//! Candidate owners of one index version.

use std::sync;

use crate::{ids, outcome, plan, view};

/// Candidate owners of every shard of one index version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routes {
    version: ids::IndexVersion,
    shards: Vec<Vec<plan::Candidate>>,
    reachable: usize,
}

impl Routes {
    /// Routes of every index version of a collection, ascending by version.
    ///
    /// A replica counts only if its server is ready, not taken out, and owned
    /// by a live entry VM.
    pub fn collect(view: &view::View, service: &str, collection: &str) -> Vec<sync::Arc<Self>> {
        let Some(defined) = view.catalog.collections.get(collection) else {
            return Vec::new();
        };
        let mut routes: Vec<Self> = defined
            .versions
            .iter()
            .map(|(version, shards)| Self {
                version: *version,
                shards: vec![Vec::new(); *shards as usize],
                reachable: 0,
            })
            .collect();
        for record in view.servers.values() {
            let announcement = &record.announcement;
            if announcement.service != service || !view.is_eligible(record) {
                continue;
            }
            let Some(owner) = record.owner.filter(|o| view.members.contains_key(o)) else {
                continue;
            };
            let slots = view.slots(record);
            let hosted = &announcement.hosted;
            let start = hosted.partition_point(|shard| shard.collection.as_str() < collection);
            for shard in &hosted[start..] {
                if shard.collection != collection {
                    break;
                }
                let found = routes.binary_search_by_key(&shard.version, |route| route.version);
                if let Ok(position) = found {
                    routes[position].add(shard.shard, owner, slots);
                }
            }
        }
        routes.into_iter().map(sync::Arc::new).collect()
    }

    /// Index version that the routes lead to.
    pub fn version(&self) -> ids::IndexVersion {
        self.version
    }

    /// Number of shards in the shard map.
    pub fn total(&self) -> usize {
        self.shards.len()
    }

    /// Number of shards that have a candidate.
    pub fn reachable(&self) -> usize {
        self.reachable
    }

    /// Candidates of a shard; empty if it has none or lies outside the shard map.
    pub fn candidates(&self, shard: ids::ShardNumber) -> &[plan::Candidate] {
        self.shards.get(shard as usize).map_or(&[], Vec::as_slice)
    }

    /// Coverage if every shard that has a candidate answers.
    pub fn coverage(&self) -> outcome::Coverage {
        let mut coverage = outcome::Coverage::default();
        for (shard, candidates) in (0..).zip(&self.shards) {
            if candidates.is_empty() {
                coverage.missing.push(shard);
            } else {
                coverage.covered.push(shard);
            }
        }
        coverage
    }

    fn add(&mut self, shard: ids::ShardNumber, owner: ids::NodeId, slots: u32) {
        let Some(candidates) = self.shards.get_mut(shard as usize) else {
            return;
        };
        self.reachable += usize::from(candidates.is_empty());
        match candidates
            .iter_mut()
            .find(|candidate| candidate.owner == owner)
        {
            Some(candidate) => {
                candidate.replicas += 1;
                candidate.slots = candidate.slots.saturating_add(slots);
            }
            None => candidates.push(plan::Candidate {
                owner,
                replicas: 1,
                slots,
            }),
        }
    }
}
