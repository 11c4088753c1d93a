//! Streaming estimate of a latency quantile.

use std::time;

/// Relative step of one sample; about fifty samples move the estimate by half.
const RELATIVE_STEP: f64 = 0.03;

/// Lower bound of the estimate; without it, relative steps would shrink to nothing.
const MIN_SECONDS: f64 = 0.000_5;

/// Quantile estimate that each sample moves up or down by a fixed share.
#[derive(Clone, Copy, Debug)]
pub struct Quantile {
    rank: f64,
    /// Seconds.
    value: f64,
}

impl Quantile {
    /// Estimates the quantile of a rank between 0 and 1, such as 0.5 for the median.
    pub fn new(rank: f64, initial: time::Duration) -> Self {
        Self {
            rank,
            value: initial.as_secs_f64().max(MIN_SECONDS),
        }
    }

    /// Adjusts the estimate by one sample.
    pub fn add(&mut self, sample: time::Duration) {
        let factor = match sample.as_secs_f64() > self.value {
            true => 1.0 + RELATIVE_STEP * self.rank,
            false => 1.0 - RELATIVE_STEP * (1.0 - self.rank),
        };
        self.value = (self.value * factor).max(MIN_SECONDS);
    }

    /// Current estimate; never zero.
    pub fn value(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.value)
    }
}
