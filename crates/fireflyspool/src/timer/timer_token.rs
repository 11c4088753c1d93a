//! Identifier of a timer subscription.

use std::time;

/// Identifies a subscription for [`crate::timer::TimerService::cancel`]; orders by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken {
    pub(super) deadline: time::Instant,
    pub(super) sequence: u64,
}
