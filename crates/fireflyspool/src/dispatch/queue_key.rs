//! Order of waiting sub-requests of one kind.

use std::time;

use crate::dispatch::{backlog, pending_sub};

/// Rank in a queue: hedges first, then the earliest deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    /// Whether hedges go ahead of it; sorts hedges first.
    pub(super) behind_hedges: bool,
    pub(super) deadline: time::Instant,
    /// Makes the key unique.
    pub(super) index: backlog::EntryIndex,
}

impl QueueKey {
    pub(super) fn of(entry: &pending_sub::PendingSub, index: backlog::EntryIndex) -> Self {
        Self {
            behind_hedges: entry.behind_hedges,
            deadline: entry.deadline,
            index,
        }
    }
}
