//! Intended start times.

use std::time;

/// Shortest wait while the rate is zero, after which the rate is read again.
const IDLE_STEP: time::Duration = time::Duration::from_millis(100);

/// Poisson arrivals; they never wait for responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrivals {
    at: time::Duration,
}

impl Arrivals {
    /// Time reached, from the start of the run.
    pub fn at(&self) -> time::Duration {
        self.at
    }

    /// Moves to the next arrival at a rate per second; returns nothing while the rate is zero.
    pub fn advance(&mut self, rate: f64, entropy: u64) -> Option<time::Duration> {
        if rate <= 0.0 {
            self.at += IDLE_STEP;
            return None;
        }
        // The top 53 bits give a uniform number in (0, 1], so that its logarithm is finite.
        let uniform = ((entropy >> 11) as f64 + 1.0) / 9_007_199_254_740_992.0;
        self.at += time::Duration::from_secs_f64(-uniform.ln() / rate);
        Some(self.at)
    }
}
