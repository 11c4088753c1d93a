//! Handle of one subscription.

use std::time;

/// Names one subscription, so that it can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken {
    pub(super) deadline: time::Instant,
    pub(super) sequence: u64,
}
