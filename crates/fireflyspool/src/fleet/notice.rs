//! What one backend server has stated about itself.

use std::time;

use crate::{backend, ids};

/// Statements of one incarnation of a backend server in its responses to this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Notice {
    /// Start time of the incarnation; a later one is not bound by the notice.
    pub(super) born: ids::BornMillis,
    /// Whether it has stated that it leaves; holds until a later incarnation.
    pub(super) leaving: bool,
    /// End of the latest pause that it asked for.
    pub(super) paused_until: Option<time::Instant>,
}

impl Notice {
    /// Notice of an incarnation that has stated nothing.
    pub(super) fn new(born: ids::BornMillis) -> Self {
        Self {
            born,
            leaving: false,
            paused_until: None,
        }
    }

    /// Adds a statement; a pause never shortens an earlier one.
    pub(super) fn add(&mut self, condition: &backend::Condition, now: time::Instant) {
        self.leaving |= condition.leaving;
        let end = condition.pause.and_then(|pause| now.checked_add(pause));
        self.paused_until = self.paused_until.max(end);
    }

    /// When the incarnation may get requests: `now` at the earliest, `None` if never.
    pub(super) fn usable_at(&self, now: time::Instant) -> Option<time::Instant> {
        let paused_until = self.paused_until.unwrap_or(now);
        (!self.leaving).then(|| paused_until.max(now))
    }
}
