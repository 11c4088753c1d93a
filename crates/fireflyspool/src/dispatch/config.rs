//! Settings of a dispatcher.

/// Limits and switches of one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Sub-requests that wait for one service at this owner.
    pub queue_limit: usize,
    /// Whether hedges wait ahead of first attempts; off only to measure the effect.
    pub hedges_first: bool,
    /// Whether cold backend servers start at one request; off only to measure the effect.
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
