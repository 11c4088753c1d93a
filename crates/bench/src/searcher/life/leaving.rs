//! State that refuses new work.

use std::time;

/// Running work is finished, new work is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// When the searcher may end if it is idle.
    pub until: time::Instant,
}
