//! Measure of a shortage of capacity at the backend servers.
//!
//! One entry VM of a large site sends a service too few attempts to know its state, but a
//! query over many shards sends dozens of attempts at once. Therefore the attempts at all
//! services are counted together.

use std::time;

/// Time in which the weight of a sample decays to 1/e.
const SAMPLE_LIFETIME: time::Duration = time::Duration::from_secs(1);

/// Weight of the assumption that there is no shortage, in samples; one or two rejections
/// after an idle period do not outweigh it.
const PRIOR_WEIGHT: f64 = 10.0;

/// Decaying counts of attempts and of the signs of a shortage among them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShortageMeter {
    attempts: f64,
    rejected: f64,
    loads: f64,
    full_queues: f64,
    updated: Option<time::Instant>,
}

impl ShortageMeter {
    /// Counts an attempt that was answered or was rejected or failed.
    pub(super) fn add_attempt(&mut self, rejected: bool, now: time::Instant) {
        self.decay(now);
        self.attempts += 1.0;
        self.rejected += f64::from(u8::from(rejected));
    }

    /// Counts the load that a backend server stated.
    pub(super) fn add_load(&mut self, full_queue: bool, now: time::Instant) {
        self.decay(now);
        self.loads += 1.0;
        self.full_queues += f64::from(u8::from(full_queue));
    }

    /// Share of the recent attempts that were rejected or failed, 0 to 1.
    pub(super) fn rejections(&self, now: time::Instant) -> f64 {
        self.rejections_given((0.0, PRIOR_WEIGHT), now)
    }

    /// The same with another assumption, which has a weight in samples.
    pub(super) fn rejections_given(&self, (rate, weight): (f64, f64), now: time::Instant) -> f64 {
        let kept = self.kept(now);
        (self.rejected * kept + rate * weight) / (self.attempts * kept + weight)
    }

    /// Share of the recent responses that stated a full queue, 0 to 1.
    pub(super) fn queues(&self, now: time::Instant) -> f64 {
        let kept = self.kept(now);
        self.full_queues * kept / (self.loads * kept + PRIOR_WEIGHT)
    }

    fn decay(&mut self, now: time::Instant) {
        let kept = self.kept(now);
        for sum in [
            &mut self.attempts,
            &mut self.rejected,
            &mut self.loads,
            &mut self.full_queues,
        ] {
            *sum *= kept;
        }
        self.updated = Some(now);
    }

    /// Weight that the samples up to the last one have now.
    fn kept(&self, now: time::Instant) -> f64 {
        let age = self.updated.map_or(time::Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        (-age.as_secs_f64() / SAMPLE_LIFETIME.as_secs_f64()).exp()
    }
}
