//! Share of requests of one kind that were served.

use std::time;

/// Weight of a new sample in the moving average. One entry VM of a large site gets about
/// one request of a kind in a second.
const SAMPLE_WEIGHT: f64 = 0.5;

/// Time in which the part that was not served decays to 1/e without samples.
const DECAY_TIME: time::Duration = time::Duration::from_secs(4);

/// Moving average over the recent requests of one kind that arrived during a shortage.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServedShare {
    unserved: f64,
    updated: Option<time::Instant>,
}

impl ServedShare {
    pub(super) fn add(&mut self, served: bool, now: time::Instant) {
        let sample = if served { 0.0 } else { 1.0 };
        let unserved = 1.0 - self.value(now);
        self.unserved = unserved + SAMPLE_WEIGHT * (sample - unserved);
        self.updated = Some(now);
    }

    /// Share that was served, 0 to 1; 1 without samples.
    pub(super) fn value(&self, now: time::Instant) -> f64 {
        let age = self.updated.map_or(time::Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        1.0 - self.unserved * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
