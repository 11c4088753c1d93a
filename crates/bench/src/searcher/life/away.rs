//! State after a crash.

use std::time;

/// The process is away until it restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Away {
    /// When it restarts.
    pub until: time::Instant,
}
