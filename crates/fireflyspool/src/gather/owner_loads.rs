//! Load of each owner as this entry VM sees it.

use std::time;

use crate::{gather, ids, plan, sorted};

/// Age up to which a reported queue length is used; older ones no longer describe
/// the present queue.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(50);

/// Fixed-point scale of the load per permit.
const LOAD_SCALE: u64 = 1 << 16;

/// Outstanding sub-requests of this entry VM per owner and shard, the queue lengths
/// that owners report, and the owners to avoid for a time; all of one service.
///
/// Sub-requests are counted per shard because an owner's servers of other
/// shards do not delay a sub-request: it waits only for the replicas of its shard.
#[derive(Clone, Debug, Default)]
pub struct OwnerLoads {
    shards: sorted::SortedMap<(ids::NodeId, ids::ShardNumber), ShardLoad>,
    owners: sorted::SortedMap<ids::NodeId, OwnerLoad>,
}

#[derive(Clone, Debug, Default)]
struct ShardLoad {
    outstanding: u32,
    avoid_until: Option<time::Instant>,
}

#[derive(Clone, Debug, Default)]
struct OwnerLoad {
    outstanding: u32,
    queued: u32,
    reported_at: Option<time::Instant>,
    avoid_until: Option<time::Instant>,
}

impl OwnerLoads {
    /// Counts a sub-request that is sent to an owner.
    pub fn sent(&mut self, owner: ids::NodeId, shard: ids::ShardNumber) {
        let load = self
            .shards
            .get_or_insert_with((owner, shard), ShardLoad::default);
        load.outstanding += 1;
        self.owner_mut(owner).outstanding += 1;
    }

    /// Stops counting a sub-request that ended, was cancelled or was abandoned.
    pub fn ended(&mut self, owner: ids::NodeId, shard: ids::ShardNumber) {
        if let Some(load) = self.shards.get_mut(&(owner, shard)) {
            load.outstanding = load.outstanding.saturating_sub(1);
        }
        let load = self.owner_mut(owner);
        load.outstanding = load.outstanding.saturating_sub(1);
    }

    /// Records the queue length that an owner reported in an answer. An answer
    /// also shows that the owner works, so it is no longer avoided.
    pub fn reported(&mut self, owner: ids::NodeId, queued: u32, now: time::Instant) {
        let load = self.owner_mut(owner);
        load.queued = queued;
        load.reported_at = Some(now);
        load.avoid_until = None;
    }

    /// Prefers other owners until the given time.
    pub fn avoid(&mut self, owner: ids::NodeId, until: time::Instant) {
        self.owner_mut(owner).avoid_until = Some(until);
    }

    /// Prefers other owners for one shard until the given time.
    pub fn avoid_shard(
        &mut self,
        owner: ids::NodeId,
        shard: ids::ShardNumber,
        until: time::Instant,
    ) {
        let load = self
            .shards
            .get_or_insert_with((owner, shard), ShardLoad::default);
        load.avoid_until = Some(until);
    }

    /// Whether an owner is avoided now, for all shards or for this one.
    pub fn is_avoided(
        &self,
        owner: ids::NodeId,
        shard: ids::ShardNumber,
        now: time::Instant,
    ) -> bool {
        let all_shards = self.owners.get(&owner).and_then(|load| load.avoid_until);
        let shard_load = self.shards.get(&(owner, shard));
        let one_shard = shard_load.and_then(|load| load.avoid_until);
        all_shards.max(one_shard).is_some_and(|until| now < until)
    }

    /// Sub-requests of this entry VM that are outstanding at an owner.
    pub fn outstanding(&self, owner: ids::NodeId) -> u32 {
        self.owners.get(&owner).map_or(0, |load| load.outstanding)
    }

    /// Owner with the fewest outstanding sub-requests per permit. An avoided
    /// owner is chosen only if there is no other. Ties are broken by the reported
    /// queue length while it is recent, then by `entropy`.
    pub fn choose(
        &self,
        candidates: impl Iterator<Item = plan::Candidate>,
        shard: ids::ShardNumber,
        now: time::Instant,
        entropy: u64,
    ) -> Option<ids::NodeId> {
        candidates
            .map(|candidate| (self.rank(candidate, shard, now, entropy), candidate.owner))
            .min()
            .map(|(_, owner)| owner)
    }

    /// Drops owners that are no longer live and have nothing outstanding.
    pub fn retain(&mut self, live: impl Fn(ids::NodeId) -> bool) {
        self.shards
            .retain(|(owner, _), load| load.outstanding > 0 || live(*owner));
        self.owners
            .retain(|owner, load| load.outstanding > 0 || live(*owner));
    }

    fn rank(
        &self,
        candidate: plan::Candidate,
        shard: ids::ShardNumber,
        now: time::Instant,
        entropy: u64,
    ) -> (bool, u64, u32, u64) {
        let owner = candidate.owner;
        let shard_load = self.shards.get(&(owner, shard));
        let outstanding = shard_load.map_or(0, |load| load.outstanding);
        let permits = u64::from(candidate.slots.max(1));
        let load = u64::from(outstanding) * LOAD_SCALE / permits;
        let queued = self.recent_queue(owner, now).unwrap_or(0);
        let avoided = self.is_avoided(owner, shard, now);
        let tie_break = gather::split_mix64::SplitMix64(owner ^ entropy).next_u64();
        (avoided, load, queued, tie_break)
    }

    fn recent_queue(&self, owner: ids::NodeId, now: time::Instant) -> Option<u32> {
        let load = self.owners.get(&owner)?;
        let age = now.saturating_duration_since(load.reported_at?);
        (age < MAX_REPORT_AGE).then_some(load.queued)
    }

    fn owner_mut(&mut self, owner: ids::NodeId) -> &mut OwnerLoad {
        self.owners.get_or_insert_with(owner, OwnerLoad::default)
    }
}
