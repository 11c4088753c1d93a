//! Quantiles of latency.

use hdrhistogram::Histogram;

/// Latency in milliseconds, counted from the intended start.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Latency {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Greatest value.
    pub max_ms: f64,
}

impl Latency {
    /// Quantiles of a histogram in microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        if histogram.is_empty() {
            return Self::default();
        }
        let quantile = |share| histogram.value_at_quantile(share) as f64 / 1e3;
        Self {
            count: histogram.len(),
            // Whole microseconds: the JSON reader does not restore the last digit of long fractions.
            mean_ms: histogram.mean().round() / 1e3,
            p50_ms: quantile(0.5),
            p90_ms: quantile(0.9),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            max_ms: histogram.max() as f64 / 1e3,
        }
    }
}
