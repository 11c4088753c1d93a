//! State that takes work.

use std::time;

/// Work is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// Begin of the cold start.
    pub cold_since: time::Instant,
}

impl Ready {
    /// Progress of a cold start, from 0 (cold) to 1 (warm).
    pub fn warmth(&self, cold_time: time::Duration, now: time::Instant) -> f64 {
        if cold_time.is_zero() {
            return 1.0;
        }
        let elapsed = now.saturating_duration_since(self.cold_since);
        elapsed.div_duration_f64(cold_time).min(1.0)
    }
}
