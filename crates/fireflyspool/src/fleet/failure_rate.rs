//! Recent failure rate of a service.

use std::time;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Time in which the rate decays to 1/e without samples, so that a service that
/// has recovered gets requests again.
const DECAY_TIME: time::Duration = time::Duration::from_millis(700);

/// Exponentially weighted moving average that also decays with time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    rate: f64,
    /// When the last sample was added.
    updated: Option<time::Instant>,
}

impl FailureRate {
    pub(super) fn add(&mut self, answered: bool, now: time::Instant) {
        let sample = if answered { 0.0 } else { 1.0 };
        let rate = self.rate(now);
        self.rate = rate + SAMPLE_WEIGHT * (sample - rate);
        self.updated = Some(now);
    }

    pub(super) fn rate(&self, now: time::Instant) -> f64 {
        let age = self.updated.map_or(time::Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        self.rate * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
