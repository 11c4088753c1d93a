//! Waiting request.

use std::time;

use crate::ids;

/// Request in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: ids::Ticket,
    /// Until when it may wait.
    pub(super) deadline: time::Instant,
    /// Latest time at which the answer is useful to the caller.
    pub(super) answer_by: time::Instant,
    /// When its caller may try again if it is refused, where that is known on arrival.
    pub(super) retry_after: Option<time::Duration>,
    /// Number of sub-requests that it will send.
    pub(super) cost: u32,
    /// Whether it was held back near the peak.
    pub(super) held_back: bool,
}
