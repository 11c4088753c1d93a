//! Times of one request.

use std::time;

use crate::configuration;

/// Share of the latency objective at which a sufficient answer is sent; the
/// rest is for the way to the caller.
const OBJECTIVE_SHARE: f64 = 0.85;

/// Least time kept for the way to the caller.
const CALLER_WAY: time::Duration = time::Duration::from_millis(8);

/// Multiple of the objective until which a late answer waits for all shards.
const LATE_FACTOR: u32 = 2;

/// Shortest and longest time before a hedge, as shares of the objective.
const HEDGE_SHARES: (f64, f64) = (0.1, 0.3);

/// Share of the objective for which a first attempt waits for a free server.
const STARVATION_SHARE: f64 = 0.2;

/// Points in time that follow from route and caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// When the request was received.
    pub received: time::Instant,
    /// When a sufficient answer is sent although shards are missing.
    pub cutoff: time::Instant,
    /// When the answer is late.
    pub objective: time::Instant,
    /// When a late sufficient answer is sent although shards are missing.
    pub late_cutoff: time::Instant,
    /// When the caller or the route allows no more time.
    pub deadline: time::Instant,
    /// How long a first attempt waits for a free backend server.
    pub starvation: time::Duration,
}

impl Timing {
    /// Times of a request that was received then.
    pub fn new(
        route: &configuration::Route,
        patience: Option<time::Duration>,
        received: time::Instant,
    ) -> Self {
        let patience = patience.map_or(route.timeout, |patience| {
            patience.saturating_sub(CALLER_WAY).min(route.timeout)
        });
        let objective = route.objective;
        let kept = objective.saturating_sub(CALLER_WAY);
        Self {
            received,
            cutoff: received + objective.mul_f64(OBJECTIVE_SHARE).min(kept),
            objective: received + objective,
            late_cutoff: received + objective * LATE_FACTOR,
            deadline: received + patience,
            starvation: objective.mul_f64(STARVATION_SHARE),
        }
    }

    /// Time after which an attempt is hedged, from the high latency of the route.
    pub fn hedge_delay(
        route: &configuration::Route,
        high_latency: time::Duration,
    ) -> time::Duration {
        let (least, most) = HEDGE_SHARES;
        let (least, most) = (
            route.objective.mul_f64(least),
            route.objective.mul_f64(most),
        );
        high_latency.clamp(least, most.max(least))
    }
}
