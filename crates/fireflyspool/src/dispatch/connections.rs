//! Connections to one backend server.

use std::time;

/// Connections beyond the slots: one for cancellations and one spare.
const RESERVE: u32 = 2;

/// Wait after the first failure to open a connection; it doubles with each further one.
const FIRST_RETRY: time::Duration = time::Duration::from_millis(100);

/// Most doublings of that wait, which bounds it at 3.2 seconds.
const MOST_DOUBLINGS: u32 = 5;

/// Count of connections to one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Connections {
    /// Most that this owner may hold.
    pub(super) limit: u32,
    /// Established, idle ones included.
    pub(super) open: u32,
    /// Being opened ahead of need.
    pub(super) opening: u32,
    /// Carrying an attempt or a cancellation.
    pub(super) used: u32,
    /// Whether the idle ones may lead to a process that has ended.
    pub(super) stale: bool,
    /// Earliest time of the next one ahead of need, after a failure.
    pub(super) retry_at: Option<time::Instant>,
    /// Failures in a row to open one.
    failures: u32,
    /// Whether it stands in the list of servers that want another connection.
    pub(super) listed: bool,
}

impl Connections {
    /// Limit from what the backend server accepts and what this owner can use.
    pub(super) fn set_limit(&mut self, accepted: u32, slots: u32) {
        self.limit = accepted.min(slots.saturating_add(RESERVE));
    }

    pub(super) fn total(&self) -> u32 {
        self.open + self.opening
    }

    /// Whether no connection carries anything or is being opened.
    pub(super) fn is_quiet(&self) -> bool {
        self.used == 0 && self.opening == 0
    }

    /// Whether another connection is wanted ahead of need.
    pub(super) fn wants_more(&self, now: time::Instant) -> bool {
        self.total() < self.limit && self.retry_at.is_none_or(|retry| retry <= now)
    }

    /// Takes note of a connection that was opened ahead of need.
    pub(super) fn opened(&mut self) {
        self.opening = self.opening.saturating_sub(1);
        self.open += 1;
        self.failures = 0;
        self.retry_at = None;
    }

    /// Takes note of a connection that could not be opened; returns when to try again.
    pub(super) fn open_failed(&mut self, now: time::Instant) -> Option<time::Instant> {
        self.opening = self.opening.saturating_sub(1);
        let wait = FIRST_RETRY * (1 << self.failures.min(MOST_DOUBLINGS));
        self.failures += 1;
        self.retry_at = Some(now + wait);
        self.retry_at
    }

    /// Whether a request can be sent without passing the limit.
    pub(super) fn has_room(&self) -> bool {
        self.used < self.open || self.total() < self.limit
    }

    /// Takes a connection for a request, a new one if none is idle.
    pub(super) fn acquire(&mut self) {
        if self.used >= self.open {
            self.open += 1;
        }
        self.used += 1;
    }

    /// Returns a connection that stays open.
    pub(super) fn release(&mut self) {
        self.used = self.used.saturating_sub(1);
    }

    /// Takes note that a used connection has closed.
    pub(super) fn lose(&mut self) {
        self.release();
        self.open = self.open.saturating_sub(1);
    }

    /// Takes note that all connections have closed.
    pub(super) fn reset(&mut self) {
        self.open = 0;
        self.stale = false;
    }
}
