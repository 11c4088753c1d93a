//! Statistics of one service on one entry VM.

use std::time;

use crate::{gather, outcome};

/// Loads of the owners and latencies of the sub-requests of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceStats {
    /// Outstanding sub-requests of this entry VM and reported queue lengths by owner.
    pub loads: gather::OwnerLoads,
    /// Latencies by kind: owners serve urgent work first, so the latencies of lower
    /// kinds do not show when an urgent attempt is slow.
    latencies: [gather::LatencyWindow; outcome::Kind::ALL.len()],
}

impl ServiceStats {
    /// Adds the latency of a sub-request.
    pub fn observe(&mut self, kind: outcome::Kind, latency: time::Duration, now: time::Instant) {
        self.latencies[kind.index()].observe(latency, now);
    }

    /// Latency of a kind at a quantile given in permille; `None` with too few observations.
    pub fn quantile(
        &mut self,
        kind: outcome::Kind,
        permille: u64,
        now: time::Instant,
    ) -> Option<time::Duration> {
        self.latencies[kind.index()].quantile(permille, now)
    }
}
