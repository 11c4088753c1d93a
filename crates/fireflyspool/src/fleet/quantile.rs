//! Estimate of a quantile of latencies.

use std::time;

/// Relative step of one sample; about fifty samples move the estimate by half.
const STEP: f64 = 0.03;

/// Shortest estimate, which keeps relative steps from shrinking to nothing.
const LEAST: f64 = 0.000_5;

/// Running estimate that moves up or down by a fixed share with each sample.
#[derive(Clone, Copy, Debug)]
pub struct Quantile {
    rank: f64,
    /// Seconds.
    value: f64,
}

impl Quantile {
    /// An estimate of the quantile of a rank between 0 and 1.
    pub fn new(rank: f64, initial: time::Duration) -> Self {
        Self {
            rank,
            value: initial.as_secs_f64().max(LEAST),
        }
    }

    /// Takes a sample.
    pub fn add(&mut self, sample: time::Duration) {
        let factor = match sample.as_secs_f64() > self.value {
            true => 1.0 + STEP * self.rank,
            false => 1.0 - STEP * (1.0 - self.rank),
        };
        self.value = (self.value * factor).max(LEAST);
    }

    /// The estimate.
    pub fn value(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.value)
    }
}
