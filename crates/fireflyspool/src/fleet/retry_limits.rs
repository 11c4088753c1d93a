//! Settings of the retry budget.

use std::time;

/// Limits on retries and hedges to each service, shared by all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries and hedges allowed for each request in the window.
    pub ratio: f64,
    /// Retries and hedges allowed in a window in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: time::Duration,
}
