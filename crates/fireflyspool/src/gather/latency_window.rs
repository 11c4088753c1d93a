//! Sliding window of sub-request times.

use std::time;

/// Age at which observations start to leave the window; they are gone after twice this time.
const HALF_WINDOW: time::Duration = time::Duration::from_secs(10);

/// Observations below which a high quantile is mostly noise.
const MIN_SAMPLES: u64 = 100;

/// Age up to which a computed quantile is reused; merging the histograms costs microseconds.
const REUSE: time::Duration = time::Duration::from_millis(100);

/// Longest time that is told apart from longer ones.
const MAX_MICROS: u64 = 60_000_000;

/// Times between sending a sub-request and its answer, as the coordinator sees them.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    current: hdrhistogram::Histogram<u32>,
    previous: hdrhistogram::Histogram<u32>,
    rotated: Option<time::Instant>,
    computed: Option<(time::Instant, u64, time::Duration)>,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            current: histogram(),
            previous: histogram(),
            rotated: None,
            computed: None,
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

    /// Quantile, in permille, of the window; `None` with too few observations.
    pub fn quantile(&mut self, permille: u64, now: time::Instant) -> Option<time::Duration> {
        self.rotate(now);
        if let Some((at, of, value)) = self.computed
            && of == permille
            && now.saturating_duration_since(at) < REUSE
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
        self.computed = Some((now, permille, value));
        Some(value)
    }

    fn rotate(&mut self, now: time::Instant) {
        let since = *self.rotated.get_or_insert(now);
        let age = now.saturating_duration_since(since);
        if age < HALF_WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= HALF_WINDOW * 2 {
            self.previous.reset();
        }
        self.rotated = Some(now);
    }
}

fn histogram() -> hdrhistogram::Histogram<u32> {
    // Two digits are enough for a delay; the bounds are constants that the library accepts.
    hdrhistogram::Histogram::new_with_bounds(1, MAX_MICROS, 2).expect("constant bounds are valid")
}
