//! Share of requests without a part of a service.

use std::time;

/// Weight of a new sample.
const WEIGHT: f64 = 0.1;

/// Time after which the rate has faded to about a third, so that a service
/// that recovered is found again.
const FADE: time::Duration = time::Duration::from_millis(700);

/// Moving average that fades without samples.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LossRate {
    rate: f64,
    at: Option<time::Instant>,
}

impl LossRate {
    pub(super) fn add(&mut self, filled: bool, now: time::Instant) {
        let sample = if filled { 0.0 } else { 1.0 };
        let rate = self.rate(now);
        self.rate = rate + WEIGHT * (sample - rate);
        self.at = Some(now);
    }

    pub(super) fn rate(&self, now: time::Instant) -> f64 {
        let age = self
            .at
            .map_or(time::Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-age.as_secs_f64() / FADE.as_secs_f64()).exp()
    }
}
