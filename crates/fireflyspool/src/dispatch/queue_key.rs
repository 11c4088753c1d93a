//! Order of waiting sub-requests of one kind.

use std::time;

/// Position in a queue: hedges first, then the earliest deadline, then the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) first_attempt: bool,
    pub(super) deadline: time::Instant,
    pub(super) sequence: u64,
}
