//! Settings of a dispatcher.

/// Queue limit and switches of one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Most sub-requests that wait for the service at this owner.
    pub queue_limit: usize,
    /// Whether hedges are queued ahead of first attempts; off only in measurements.
    pub hedges_first: bool,
    /// Whether cold backend servers start with one concurrent request; off only in tests and
    /// measurements.
    pub slow_start: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            queue_limit: 1_024,
            hedges_first: true,
            slow_start: true,
        }
    }
}
