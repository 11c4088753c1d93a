//! Comparison of backend servers.

use std::time;

use crate::fleet;

/// Age at which the load that a server reported says nothing any more.
const LOAD_LIFETIME: time::Duration = time::Duration::from_millis(250);

/// Score of one overdue attempt, in units of a typical latency.
const OVERDUE_PENALTY: f64 = 4.0;

/// Score of a server whose attempts all fail, in units of a typical latency.
const FAILURE_PENALTY: f64 = 20.0;

/// Least slowness of a server that entry VMs together find slow or failing;
/// above what leaving the zone costs.
const OUTLIER_SLOWNESS: f64 = 6.5;

/// Time after which a slow server's penalty has faded to about a third, so
/// that it is tried again.
const FORGIVENESS: time::Duration = time::Duration::from_millis(2_500);

impl fleet::target::Target {
    /// Expected cost of one more request; lower is better.
    pub(super) fn score(&self, now: time::Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.slowness_at)
            .as_secs_f64();
        let fade = (-age / FORGIVENESS.as_secs_f64()).exp();
        let slowness = match self.slowness > 1.0 {
            true => 1.0 + (self.slowness - 1.0) * fade,
            false => self.slowness,
        };
        let slowness = match self.outlier {
            true => slowness.max(OUTLIER_SLOWNESS),
            false => slowness,
        };
        let age = now
            .saturating_duration_since(self.failures_at)
            .as_secs_f64();
        let failures = self.failures * (-age / FORGIVENESS.as_secs_f64()).exp();
        let reported = match now.saturating_duration_since(self.load_at) < LOAD_LIFETIME {
            true => self.load,
            false => 0.0,
        };
        let busy = reported.max(self.running as f64) / self.slots;
        slowness * (1.0 + busy)
            + OVERDUE_PENALTY * self.overdue.len() as f64
            + FAILURE_PENALTY * failures
            + self.zone_penalty
    }
}
