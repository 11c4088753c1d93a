//! Groups of shards that other entry VMs gather.

use std::{net, time};

use crate::fleet::placed_shard;
use crate::{configuration, fleet, ids};

/// Share of the latency objective that writing the attempts of one group may take. Reading
/// their responses takes about as long again.
const WRITE_SHARE: f64 = 0.1;

/// Fewest shards that a VM gathers before it delegates some within its zone: a query to fewer
/// is fast on any VM, and each group costs about as much as two attempts.
const MIN_LIMIT: usize = 16;

/// Attempts whose time to be written is estimated; a single one takes too little time.
pub(super) const WRITTEN_BATCH: u32 = 100;

/// Fewest attempts whose writing is measured; the time of fewer is that of other work.
const MIN_WRITTEN: usize = 8;

impl fleet::Fleet {
    /// Groups of the shards of a query that are to be delegated; the others are to be queried
    /// by this VM.
    ///
    /// `shards` are the indexes and services of those that need a response.
    pub fn plan_groups<'a>(
        &self,
        shards: impl Iterator<Item = (usize, &'a ids::ServiceName)>,
        route: &configuration::Route,
        entropy: u64,
        now: time::Instant,
    ) -> Vec<fleet::PlannedGroup> {
        if self.delegates.is_empty() {
            return Vec::new();
        }
        let place = |(index, service): (usize, &ids::ServiceName)| {
            let pool = self.pools.get(service)?;
            let zones = pool.best_zones(&self.notices, now)?;
            Some(placed_shard::PlacedShard { index, zones })
        };
        let shards = shards.filter_map(place).collect();
        let seconds = route.objective.as_secs_f64() * WRITE_SHARE;
        let batch = self.write_time.value().as_secs_f64();
        let limit = (seconds / batch * f64::from(WRITTEN_BATCH)) as usize;
        let own = (&self.zone, limit.max(MIN_LIMIT));
        self.delegates.plan(shards, own, entropy, now)
    }

    /// Records how long it took until a number of attempts were written.
    pub fn record_written(&mut self, attempts: usize, elapsed: time::Duration) {
        if attempts >= MIN_WRITTEN
            && let Ok(attempts) = u32::try_from(attempts)
        {
            self.write_time.add(elapsed * WRITTEN_BATCH / attempts);
        }
    }

    /// Counts a group that is sent to another entry VM.
    ///
    /// Every one must be ended by [`Self::record_group_end`].
    pub fn start_group(&mut self, delegate: net::SocketAddr) {
        self.delegates.start(delegate);
    }

    /// Records how long another entry VM took for its first answer to a group of a route.
    pub fn record_group_latency(&mut self, route: &configuration::Route, elapsed: time::Duration) {
        self.latency(route).group.add(elapsed);
    }

    /// Records that a group has taken too long.
    pub fn record_group_late(&mut self, delegate: net::SocketAddr, now: time::Instant) {
        self.delegates.record_late(delegate, now);
    }

    /// Records the end of a group; `result` is `None` if it was given up for a reason that says
    /// nothing about the other entry VM.
    pub fn record_group_end(
        &mut self,
        delegate: net::SocketAddr,
        result: Option<fleet::AttemptResult>,
        now: time::Instant,
    ) {
        self.delegates.record_end(delegate, result, now);
    }

    /// Time that other entry VMs take for the first answer to 95 % of the groups of a route, as
    /// estimated.
    pub fn group_latency(&mut self, route: &configuration::Route) -> time::Duration {
        self.latency(route).group.value()
    }
}
