//! First phase of a shutdown.

use std::time;

/// Marked as leaving; still serves callers that hold old address answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcing {
    /// Time at which the last address answer that lists this VM expires.
    pub(super) until: time::Instant,
}
