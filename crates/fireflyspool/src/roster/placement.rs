//! Choice of owners.

use super::{candidate, rank, seat};
use crate::backend;

/// Assignment of backend servers to entry VMs.
///
/// Owners stay as long as they can. A backend server that needs one gets the
/// candidate with the highest rendezvous rank among those below the even share,
/// preferably one that owns no other replica of its shards. When the shares of
/// two candidates differ by two or more, one backend server moves. A join
/// therefore moves about one share, and a departure only what its owner had.
pub(super) struct Placement<'a> {
    candidates: Vec<candidate::Candidate<'a>>,
    seats: Vec<seat::Seat<'a>>,
    owned: Vec<Vec<usize>>,
    budget: usize,
}

impl<'a> Placement<'a> {
    /// Assigns every seat, with at most `budget` moves that are not necessary.
    ///
    /// `candidates` are ascending by node and exclude leaving entry VMs.
    pub(super) fn run(
        candidates: Vec<candidate::Candidate<'a>>,
        seats: Vec<seat::Seat<'a>>,
        budget: usize,
    ) -> Vec<seat::Seat<'a>> {
        let owned = vec![Vec::new(); candidates.len()];
        let mut placement = Self {
            candidates,
            seats,
            owned,
            budget,
        };
        let mut zones: Vec<&str> = placement.seats.iter().map(|seat| seat.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let pools: Vec<_> = zones
            .iter()
            .map(|zone| (*zone, placement.pool(zone)))
            .collect();
        placement.keep(&pools);
        for (zone, pool) in &pools {
            placement.fill(zone, pool);
        }
        for (zone, pool) in &pools {
            placement.bring_home(zone, pool);
            placement.balance(zone, pool);
        }
        placement.seats
    }

    /// Candidates for the backend servers of a zone, as indexes.
    fn pool(&self, zone: &str) -> Vec<usize> {
        let select = |admit: &dyn Fn(&candidate::Candidate<'a>) -> bool| -> Vec<usize> {
            let indexes = 0..self.candidates.len();
            indexes
                .filter(|index| admit(&self.candidates[*index]))
                .collect()
        };
        let home = select(&|candidate| candidate.zone == zone && !candidate.zone_out);
        if !home.is_empty() {
            return home;
        }
        let away = select(&|candidate| !candidate.zone_out);
        if !away.is_empty() {
            return away;
        }
        select(&|_| true)
    }

    /// Keeps present owners that can stay.
    fn keep(&mut self, pools: &[(&str, Vec<usize>)]) {
        for index in 0..self.seats.len() {
            let seat = &mut self.seats[index];
            let owner = seat.owner.take().filter(|_| !seat.out);
            let Some(candidate) = owner.and_then(|node| {
                let found = self.candidates.binary_search_by_key(&node, |c| c.node);
                found.ok()
            }) else {
                continue;
            };
            let pool = pools.iter().find(|(zone, _)| *zone == seat.zone);
            let in_pool = pool.is_some_and(|(_, pool)| pool.contains(&candidate));
            if in_pool || !self.candidates[candidate].zone_out {
                seat.owner = owner;
                self.owned[candidate].push(index);
            }
        }
    }

    /// Gives an owner to every seat of a zone that needs one.
    fn fill(&mut self, zone: &str, pool: &[usize]) {
        if pool.is_empty() {
            return;
        }
        let waiting =
            |seat: &seat::Seat<'_>| seat.zone == zone && seat.owner.is_none() && !seat.out;
        let mut open: Vec<usize> = (0..self.seats.len())
            .filter(|index| waiting(&self.seats[*index]))
            .collect();
        // A fixed order that does not follow names spreads replicas of neighbouring names.
        open.sort_by_key(|index| rank::rank(self.seats[*index].server, 0));
        let held: usize = pool
            .iter()
            .map(|candidate| self.owned[*candidate].len())
            .sum();
        let total = held + open.len();
        let (floor, ceiling) = (total / pool.len(), total.div_ceil(pool.len()));
        for index in open {
            let mut shares = pool.iter().map(|candidate| self.owned[*candidate].len());
            // All reach the rounded-down share first; otherwise balancing would move some again.
            let short = shares.any(|share| share < floor);
            let chosen = self.choose(index, pool, if short { floor } else { ceiling });
            self.assign(index, chosen);
        }
    }

    /// Moves seats whose zone has candidates again back into their zone.
    fn bring_home(&mut self, zone: &str, pool: &[usize]) {
        for index in 0..self.seats.len() {
            let seat = &self.seats[index];
            let Some(owner) = seat.owner.filter(|_| seat.zone == zone) else {
                continue;
            };
            let away = !pool
                .iter()
                .any(|candidate| self.candidates[*candidate].node == owner);
            if away && self.budget > 0 {
                self.budget -= 1;
                self.unassign(index);
                let held: usize = pool
                    .iter()
                    .map(|candidate| self.owned[*candidate].len())
                    .sum();
                let chosen = self.choose(index, pool, (held + 1).div_ceil(pool.len()));
                self.assign(index, chosen);
            }
        }
    }

    /// Evens out shares that differ by two or more.
    fn balance(&mut self, zone: &str, pool: &[usize]) {
        while self.budget > 0 {
            let share = |candidate: &&usize| self.owned[**candidate].len();
            // Ties are resolved by node, so that every leader decides alike.
            let Some(least) = pool.iter().min_by_key(share).copied() else {
                return;
            };
            let movable = |candidate: &&usize| {
                let owned = &self.owned[**candidate];
                let movable = owned.iter().any(|index| self.seats[*index].zone == zone);
                if movable { owned.len() } else { 0 }
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
                .filter(|index| self.seats[*index].zone == zone)
                .max_by_key(|index| {
                    let apart = !self.shares_shard(*index, least);
                    (apart, rank::rank(self.seats[*index].server, node))
                });
            let Some(index) = choice else {
                return;
            };
            self.budget -= 1;
            self.unassign(index);
            self.assign(index, least);
        }
    }

    fn choose(&self, index: usize, pool: &[usize], share: usize) -> usize {
        let mut ranked: Vec<usize> = pool.to_vec();
        let server = self.seats[index].server;
        ranked.sort_by_key(|candidate| {
            std::cmp::Reverse(rank::rank(server, self.candidates[*candidate].node))
        });
        let mut below = ranked
            .iter()
            .copied()
            .filter(|candidate| self.owned[*candidate].len() < share);
        let first = below.clone().next();
        let apart = below.find(|candidate| !self.shares_shard(index, *candidate));
        let least = || {
            let least = ranked
                .iter()
                .min_by_key(|candidate| self.owned[**candidate].len());
            least.copied().unwrap_or(0)
        };
        apart.or(first).unwrap_or_else(least)
    }

    fn shares_shard(&self, index: usize, candidate: usize) -> bool {
        let seat = &self.seats[index];
        self.owned[candidate].iter().any(|other| {
            let other = &self.seats[*other];
            other.service == seat.service && intersects(other.hosted, seat.hosted)
        })
    }

    fn assign(&mut self, index: usize, candidate: usize) {
        self.seats[index].owner = Some(self.candidates[candidate].node);
        self.owned[candidate].push(index);
    }

    fn unassign(&mut self, index: usize) {
        self.seats[index].owner = None;
        for owned in &mut self.owned {
            owned.retain(|other| *other != index);
        }
    }
}

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
