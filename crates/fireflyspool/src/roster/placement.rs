//! Placement of backend servers on entry VMs.

use super::{assignment, candidate, rank};
use crate::backend;

/// Assignment of backend servers to entry VMs.
///
/// An owner is kept as long as it is admissible. A backend server without one gets
/// the candidate with the highest rendezvous rank among those below the even share,
/// preferably one that owns no other replica of its shards. While the shares of two
/// candidates differ by two or more, a backend server moves between them. A join
/// therefore moves about one share, and a departure only what the departed VM owned.
pub(super) struct Placement<'a> {
    candidates: Vec<candidate::Candidate<'a>>,
    assignments: Vec<assignment::Assignment<'a>>,
    /// Indexes of the assignments of each candidate.
    owned: Vec<Vec<usize>>,
    /// Optional moves that are left.
    budget: usize,
}

impl<'a> Placement<'a> {
    /// Chooses the owner of every backend server.
    ///
    /// At most `budget` backend servers move although their owner is admissible.
    /// `candidates` are in ascending order of node.
    pub(super) fn run(
        candidates: Vec<candidate::Candidate<'a>>,
        assignments: Vec<assignment::Assignment<'a>>,
        budget: usize,
    ) -> Vec<assignment::Assignment<'a>> {
        let owned = vec![Vec::new(); candidates.len()];
        let mut placement = Self {
            candidates,
            assignments,
            owned,
            budget,
        };
        let mut zones: Vec<&str> = placement
            .assignments
            .iter()
            .map(|assignment| assignment.zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        let pools: Vec<_> = zones
            .iter()
            .map(|zone| (*zone, placement.pool(zone)))
            .collect();
        placement.keep_owners(&pools);
        for (zone, pool) in &pools {
            placement.assign_ownerless(zone, pool);
        }
        for (zone, pool) in &pools {
            placement.return_to_zone(zone, pool);
            placement.balance(zone, pool);
        }
        placement.assignments
    }

    /// Indexes of the candidates for the backend servers of a zone.
    ///
    /// Prefers entry VMs of the zone, then those of other zones, then those of zones taken out.
    fn pool(&self, zone: &str) -> Vec<usize> {
        let select = |admit: &dyn Fn(&candidate::Candidate<'a>) -> bool| -> Vec<usize> {
            let indexes = 0..self.candidates.len();
            indexes
                .filter(|index| admit(&self.candidates[*index]))
                .collect()
        };
        let local = select(&|candidate| candidate.zone == zone && !candidate.zone_out);
        if !local.is_empty() {
            return local;
        }
        let remote = select(&|candidate| !candidate.zone_out);
        if !remote.is_empty() {
            return remote;
        }
        select(&|_| true)
    }

    /// Keeps current owners that are admissible.
    fn keep_owners(&mut self, pools: &[(&str, Vec<usize>)]) {
        for index in 0..self.assignments.len() {
            let assignment = &mut self.assignments[index];
            let owner = assignment.owner.take().filter(|_| !assignment.zone_out);
            let Some(candidate) = owner.and_then(|node| {
                let found = self.candidates.binary_search_by_key(&node, |c| c.node);
                found.ok()
            }) else {
                continue;
            };
            let pool = pools.iter().find(|(zone, _)| *zone == assignment.zone);
            let in_pool = pool.is_some_and(|(_, pool)| pool.contains(&candidate));
            if in_pool || !self.candidates[candidate].zone_out {
                assignment.owner = owner;
                self.owned[candidate].push(index);
            }
        }
    }

    /// Assigns an owner to every backend server of a zone that has none.
    fn assign_ownerless(&mut self, zone: &str, pool: &[usize]) {
        if pool.is_empty() {
            return;
        }
        let is_ownerless = |assignment: &assignment::Assignment<'_>| {
            assignment.zone == zone && assignment.owner.is_none() && !assignment.zone_out
        };
        let mut ownerless: Vec<usize> = (0..self.assignments.len())
            .filter(|index| is_ownerless(&self.assignments[*index]))
            .collect();
        // A fixed order that is independent of names, to spread replicas with adjacent names.
        ownerless.sort_by_key(|index| rank::rank(self.assignments[*index].server, 0));
        let held: usize = pool
            .iter()
            .map(|candidate| self.owned[*candidate].len())
            .sum();
        let total = held + ownerless.len();
        let (floor, ceiling) = (total / pool.len(), total.div_ceil(pool.len()));
        for index in ownerless {
            let mut shares = pool.iter().map(|candidate| self.owned[*candidate].len());
            // All candidates reach the rounded-down share first; otherwise `balance` would move
            // some backend servers again.
            let below_floor = shares.any(|share| share < floor);
            let chosen = self.choose_owner(index, pool, if below_floor { floor } else { ceiling });
            self.assign(index, chosen);
        }
    }

    /// Moves backend servers whose owner is of another zone to candidates of their own zone.
    fn return_to_zone(&mut self, zone: &str, pool: &[usize]) {
        for index in 0..self.assignments.len() {
            let assignment = &self.assignments[index];
            let Some(owner) = assignment.owner.filter(|_| assignment.zone == zone) else {
                continue;
            };
            let outside = !pool
                .iter()
                .any(|candidate| self.candidates[*candidate].node == owner);
            if outside && self.budget > 0 {
                self.budget -= 1;
                self.unassign(index);
                let held: usize = pool
                    .iter()
                    .map(|candidate| self.owned[*candidate].len())
                    .sum();
                let chosen = self.choose_owner(index, pool, (held + 1).div_ceil(pool.len()));
                self.assign(index, chosen);
            }
        }
    }

    /// Moves backend servers until shares differ by one at most or the budget is used up.
    fn balance(&mut self, zone: &str, pool: &[usize]) {
        while self.budget > 0 {
            let share = |candidate: &&usize| self.owned[**candidate].len();
            // Ties are broken by node, so that every leader makes the same choice.
            let Some(least) = pool.iter().min_by_key(share).copied() else {
                return;
            };
            let movable = |candidate: &&usize| {
                let owned = &self.owned[**candidate];
                let any = owned
                    .iter()
                    .any(|index| self.assignments[*index].zone == zone);
                if any { owned.len() } else { 0 }
            };
            let Some(most) = pool.iter().max_by_key(movable).copied() else {
                return;
            };
            if movable(&&most) < self.owned[least].len() + 2 {
                return;
            }
            let node = self.candidates[least].node;
            let choice = self.owned[most]
                .iter()
                .copied()
                .filter(|index| self.assignments[*index].zone == zone)
                .max_by_key(|index| {
                    let no_replica = !self.shares_shard(*index, least);
                    (
                        no_replica,
                        rank::rank(self.assignments[*index].server, node),
                    )
                });
            let Some(index) = choice else {
                return;
            };
            self.budget -= 1;
            self.unassign(index);
            self.assign(index, least);
        }
    }

    /// Candidate below `share` with the highest rank, preferably without another replica;
    /// the one with the smallest share if none is below.
    fn choose_owner(&self, index: usize, pool: &[usize], share: usize) -> usize {
        let mut ranked: Vec<usize> = pool.to_vec();
        let server = self.assignments[index].server;
        ranked.sort_by_key(|candidate| {
            std::cmp::Reverse(rank::rank(server, self.candidates[*candidate].node))
        });
        let mut below = ranked
            .iter()
            .copied()
            .filter(|candidate| self.owned[*candidate].len() < share);
        let first = below.clone().next();
        let without_replica = below.find(|candidate| !self.shares_shard(index, *candidate));
        let least = || {
            let least = ranked
                .iter()
                .min_by_key(|candidate| self.owned[**candidate].len());
            least.copied().unwrap_or(0)
        };
        without_replica.or(first).unwrap_or_else(least)
    }

    /// Whether a candidate owns another replica of a shard of a backend server.
    fn shares_shard(&self, index: usize, candidate: usize) -> bool {
        let assignment = &self.assignments[index];
        self.owned[candidate].iter().any(|other| {
            let other = &self.assignments[*other];
            other.service == assignment.service && intersects(other.hosted, assignment.hosted)
        })
    }

    fn assign(&mut self, index: usize, candidate: usize) {
        self.assignments[index].owner = Some(self.candidates[candidate].node);
        self.owned[candidate].push(index);
    }

    fn unassign(&mut self, index: usize) {
        self.assignments[index].owner = None;
        for owned in &mut self.owned {
            owned.retain(|other| *other != index);
        }
    }
}

/// Whether two ascending lists have a shard in common.
fn intersects(one: &[backend::HostedShard], other: &[backend::HostedShard]) -> bool {
    let (mut left, mut right) = (one.iter().peekable(), other.iter().peekable());
    while let (Some(a), Some(b)) = (left.peek(), right.peek()) {
        match a.cmp(b) {
            std::cmp::Ordering::Less => left.next(),
            std::cmp::Ordering::Greater => right.next(),
            std::cmp::Ordering::Equal => return true,
        };
    }
    false
}
