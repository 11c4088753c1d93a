//! First phase of a shutdown.

use std::time;

/// Marked as leaving, still serving callers that hold old answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcing {
    /// When the last answer that names this VM has run out.
    pub(super) until: time::Instant,
}
