//! What an entry VM observes of one service.

use std::time;

use crate::{gather, outcome};

/// Loads of the owners and times of the sub-requests of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceStats {
    /// Own outstanding sub-requests and reported queues by owner.
    pub loads: gather::OwnerLoads,
    /// Times by kind: owners serve urgent work first, so the times of lower
    /// kinds say nothing about when an urgent attempt is slow.
    latencies: [gather::LatencyWindow; outcome::Kind::ALL.len()],
}

impl ServiceStats {
    /// Adds the time of a sub-request.
    pub fn observe(&mut self, kind: outcome::Kind, latency: time::Duration, now: time::Instant) {
        self.latencies[kind.index()].observe(latency, now);
    }

    /// Quantile, in permille, of the times of a kind; `None` with too few observations.
    pub fn quantile(
        &mut self,
        kind: outcome::Kind,
        permille: u64,
        now: time::Instant,
    ) -> Option<time::Duration> {
        self.latencies[kind.index()].quantile(permille, now)
    }
}
