//! Score by which backend servers are compared.

use std::time;

use crate::fleet;

/// Age from which the load that a server reported is ignored.
const LOAD_MAX_AGE: time::Duration = time::Duration::from_millis(250);

/// Score of one overdue attempt, in units of a typical latency.
const OVERDUE_PENALTY: f64 = 4.0;

/// Score of a server whose attempts all fail, in units of a typical latency.
const FAILURE_PENALTY: f64 = 20.0;

/// Least latency ratio of an outlier; above the penalty for another zone, so that
/// servers of other zones are preferred to it.
const OUTLIER_LATENCY_RATIO: f64 = 6.5;

/// Share of the score of another zone that counts for servers that state their pace, whose
/// completion is known better. With the whole score, sweeps lost 0.03 of their value in the trials
/// when one zone was slow; half of it sends twice as many requests to other zones then.
const PACED_ZONE_SHARE: f64 = 0.5;

/// Time in which the penalties for slowness and failures decay to 1/e, so that
/// the server is tried again.
const PENALTY_DECAY: time::Duration = time::Duration::from_millis(2_500);

impl fleet::server_state::ServerState {
    /// Expected cost of one more request, in units of a typical latency; lower is better.
    pub(super) fn score(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.latency_at).as_secs_f64();
        let decay = (-age / PENALTY_DECAY.as_secs_f64()).exp();
        let latency = match self.latency_ratio > 1.0 {
            true => 1.0 + (self.latency_ratio - 1.0) * decay,
            false => self.latency_ratio,
        };
        let latency = match self.outlier {
            true => latency.max(OUTLIER_LATENCY_RATIO),
            false => latency,
        };
        let age = now
            .saturating_duration_since(self.failures_at)
            .as_secs_f64();
        let failures = self.failures * (-age / PENALTY_DECAY.as_secs_f64()).exp();
        let (completion, distance) = match &self.pace {
            Some(pace) => {
                // What this VM has seen counts too: a server may be slower than it states.
                let work = latency.max(pace.pace(now));
                let completion = work * (1.0 + pace.wait(self.running, now));
                (completion, PACED_ZONE_SHARE * self.zone_penalty)
            }
            None => (latency * (1.0 + self.utilization(now)), self.zone_penalty),
        };
        completion
            + OVERDUE_PENALTY * self.overdue.len() as f64
            + FAILURE_PENALTY * failures
            + distance
    }

    fn utilization(&self, now: time::Instant) -> f64 {
        let load = match now.saturating_duration_since(self.load_at) < LOAD_MAX_AGE {
            true => self.load,
            false => 0.0,
        };
        load.max(self.running as f64) / self.slots
    }
}
