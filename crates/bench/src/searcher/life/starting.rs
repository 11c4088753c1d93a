//! State after a start.

use std::time;

/// Shards are being loaded; no work is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Starting {
    /// When loading ends.
    pub until: time::Instant,
}
