//! Wall clock derived from the monotonic clock.

use std::time;

/// Start of a process on both clocks; gives wall time without reading it again.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Instant,
    unix: time::Duration,
}

impl Clock {
    /// Pairs a monotonic time with the time since the Unix epoch.
    pub fn new(origin: time::Instant, unix: time::Duration) -> Self {
        Self { origin, unix }
    }

    /// Time since the Unix epoch at a moment.
    pub fn unix(&self, now: time::Instant) -> time::Duration {
        self.unix + now.saturating_duration_since(self.origin)
    }
}
