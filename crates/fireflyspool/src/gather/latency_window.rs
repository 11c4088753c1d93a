//! Sliding window of sub-request latencies.

use std::time;

/// Period after which the histograms rotate; an observation stays for one to two periods.
const HALF_WINDOW: time::Duration = time::Duration::from_secs(10);

/// Number of observations below which a high quantile is mostly noise.
const MIN_SAMPLES: u64 = 100;

/// Age up to which a computed quantile is reused; merging the histograms costs microseconds.
const MAX_CACHE_AGE: time::Duration = time::Duration::from_millis(100);

/// Longest recorded latency; longer ones count as this one.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Times from sending a sub-request to its answer, as the coordinator sees them.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    current: hdrhistogram::Histogram<u32>,
    previous: hdrhistogram::Histogram<u32>,
    rotated_at: Option<time::Instant>,
    /// Last computed quantile: when, for which permille, and its value.
    cached: Option<(time::Instant, u64, time::Duration)>,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            current: histogram(),
            previous: histogram(),
            rotated_at: None,
            cached: None,
        }
    }
}

impl LatencyWindow {
    /// Adds an observation.
    pub fn observe(&mut self, latency: time::Duration, now: time::Instant) {
        self.rotate(now);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.current.saturating_record(micros.max(1));
    }

    /// Latency at a quantile given in permille; `None` with too few observations.
    pub fn quantile(&mut self, permille: u64, now: time::Instant) -> Option<time::Duration> {
        self.rotate(now);
        if let Some((at, cached_permille, value)) = self.cached
            && cached_permille == permille
            && now.saturating_duration_since(at) < MAX_CACHE_AGE
        {
            return Some(value);
        }
        if self.current.len() + self.previous.len() < MIN_SAMPLES {
            return None;
        }
        let mut merged = self.current.clone();
        merged.add(&self.previous).ok()?;
        let share = f64::from(u32::try_from(permille.min(1_000)).unwrap_or(1_000)) / 1_000.0;
        let value = time::Duration::from_micros(merged.value_at_quantile(share));
        self.cached = Some((now, permille, value));
        Some(value)
    }

    fn rotate(&mut self, now: time::Instant) {
        let rotated_at = *self.rotated_at.get_or_insert(now);
        let age = now.saturating_duration_since(rotated_at);
        if age < HALF_WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= HALF_WINDOW * 2 {
            self.previous.reset();
        }
        self.rotated_at = Some(now);
    }
}

fn histogram() -> hdrhistogram::Histogram<u32> {
    // Two significant digits are enough for a hedge delay.
    hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 2)
        .expect("constant bounds are valid")
}
