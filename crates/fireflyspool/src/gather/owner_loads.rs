//! Loads of owners as this entry VM sees them.

use std::time;

use crate::{gather, ids, plan, sorted};

/// Age up to which a reported queue length says something about the present.
const REPORT_AGE: time::Duration = time::Duration::from_millis(50);

/// Scale of loads per permit, so that they compare as whole numbers.
const SCALE: u64 = 1 << 16;

/// Own outstanding sub-requests per owner and shard, the queue lengths that
/// owners report, and the owners to avoid for a time; all of one service.
///
/// Sub-requests are counted per shard because an owner's servers of other
/// shards do not delay a sub-request: it waits only for the replicas of its shard.
#[derive(Clone, Debug, Default)]
pub struct OwnerLoads {
    lanes: sorted::SortedMap<(ids::NodeId, ids::ShardNumber), Lane>,
    owners: sorted::SortedMap<ids::NodeId, Owner>,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    outstanding: u32,
    avoid_until: Option<time::Instant>,
}

#[derive(Clone, Debug, Default)]
struct Owner {
    outstanding: u32,
    queued: u32,
    reported: Option<time::Instant>,
    avoid_until: Option<time::Instant>,
}

impl OwnerLoads {
    /// Counts a sub-request that leaves for an owner.
    pub fn sent(&mut self, owner: ids::NodeId, shard: ids::ShardNumber) {
        let lane = self.lanes.get_or_insert_with((owner, shard), Lane::default);
        lane.outstanding += 1;
        self.owner_mut(owner).outstanding += 1;
    }

    /// Uncounts a sub-request that ended, was cancelled or was given up.
    pub fn ended(&mut self, owner: ids::NodeId, shard: ids::ShardNumber) {
        if let Some(lane) = self.lanes.get_mut(&(owner, shard)) {
            lane.outstanding = lane.outstanding.saturating_sub(1);
        }
        let load = self.owner_mut(owner);
        load.outstanding = load.outstanding.saturating_sub(1);
    }

    /// Notes the queue length that an owner reported in an answer, which also
    /// shows that the owner works.
    pub fn reported(&mut self, owner: ids::NodeId, queued: u32, now: time::Instant) {
        let load = self.owner_mut(owner);
        load.queued = queued;
        load.reported = Some(now);
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
        let lane = self.lanes.get_or_insert_with((owner, shard), Lane::default);
        lane.avoid_until = Some(until);
    }

    /// Whether an owner is avoided now, altogether or for this shard.
    pub fn is_avoided(
        &self,
        owner: ids::NodeId,
        shard: ids::ShardNumber,
        now: time::Instant,
    ) -> bool {
        let whole = self.owners.get(&owner).and_then(|load| load.avoid_until);
        let lane = self.lanes.get(&(owner, shard));
        let part = lane.and_then(|lane| lane.avoid_until);
        whole.max(part).is_some_and(|until| now < until)
    }

    /// Own sub-requests that are outstanding at an owner.
    pub fn outstanding(&self, owner: ids::NodeId) -> u32 {
        self.owners.get(&owner).map_or(0, |load| load.outstanding)
    }

    /// Owner with the least outstanding sub-requests per permit. An avoided
    /// owner is chosen only if there is no other. Ties go by the reported
    /// queue while it is fresh, then by entropy.
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

    /// Forgets owners that are no longer live and have nothing outstanding.
    pub fn retain(&mut self, live: impl Fn(ids::NodeId) -> bool) {
        self.lanes
            .retain(|(owner, _), lane| lane.outstanding > 0 || live(*owner));
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
        let lane = self.lanes.get(&(owner, shard));
        let outstanding = lane.map_or(0, |lane| lane.outstanding);
        let permits = u64::from(candidate.slots.max(1));
        let load = u64::from(outstanding) * SCALE / permits;
        let queued = self.fresh_queue(owner, now).unwrap_or(0);
        let avoided = self.is_avoided(owner, shard, now);
        let draw = gather::entropy::Entropy(owner ^ entropy).draw();
        (avoided, load, queued, draw)
    }

    fn fresh_queue(&self, owner: ids::NodeId, now: time::Instant) -> Option<u32> {
        let load = self.owners.get(&owner)?;
        let age = now.saturating_duration_since(load.reported?);
        (age < REPORT_AGE).then_some(load.queued)
    }

    fn owner_mut(&mut self, owner: ids::NodeId) -> &mut Owner {
        self.owners.get_or_insert_with(owner, Owner::default)
    }
}
