//! Order of waiting sub-requests of one kind.

use std::time;

use crate::dispatch::{backlog, waiting};

/// Rank in a queue: hedges first, then the earliest deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) behind_hedges: bool,
    pub(super) deadline: time::Instant,
    /// Makes the key unique.
    pub(super) position: backlog::Position,
}

impl QueueKey {
    pub(super) fn of(entry: &waiting::Waiting, position: backlog::Position) -> Self {
        Self {
            behind_hedges: entry.behind_hedges,
            deadline: entry.deadline,
            position,
        }
    }
}
