//! Connections to one backend server.

use std::time;

/// Connections beyond the slots: one for cancellations and one spare.
const EXTRA_CONNECTIONS: u32 = 2;

/// Delay after the first failed preconnect; it doubles with each further failure in a row.
const FIRST_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Most doublings of that delay, which limits it to 3.2 seconds.
const MAX_DOUBLINGS: u32 = 5;

/// Counts of connections to one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Connections {
    /// Most connections that this owner may hold.
    pub(super) limit: u32,
    /// Established connections, idle ones included.
    pub(super) open: u32,
    /// Preconnects in progress.
    pub(super) opening: u32,
    /// Connections that carry an attempt or a cancellation.
    pub(super) used: u32,
    /// Whether idle connections may lead to a process that has ended.
    pub(super) stale: bool,
    /// Earliest time of the next preconnect; `None` unless the last one failed.
    pub(super) retry_at: Option<time::Instant>,
    /// Failed preconnects in a row.
    failures: u32,
    /// Whether the server is queued for a preconnect.
    pub(super) queued: bool,
}

impl Connections {
    /// Limits connections to what the backend server accepts and this owner can use.
    pub(super) fn set_limit(&mut self, accepted: u32, slots: u32) {
        self.limit = accepted.min(slots.saturating_add(EXTRA_CONNECTIONS));
    }

    pub(super) fn total(&self) -> u32 {
        self.open + self.opening
    }

    /// Whether no connection is in use or being opened.
    pub(super) fn is_idle(&self) -> bool {
        self.used == 0 && self.opening == 0
    }

    /// Whether another preconnect is allowed now.
    pub(super) fn wants_more(&self, now: time::Instant) -> bool {
        self.total() < self.limit && self.retry_at.is_none_or(|retry| retry <= now)
    }

    /// Counts a successful preconnect.
    pub(super) fn opened(&mut self) {
        self.opening = self.opening.saturating_sub(1);
        self.open += 1;
        self.failures = 0;
        self.retry_at = None;
    }

    /// Counts a failed preconnect; returns the time of the next try.
    pub(super) fn open_failed(&mut self, now: time::Instant) -> Option<time::Instant> {
        self.opening = self.opening.saturating_sub(1);
        let delay = FIRST_RETRY_DELAY * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.retry_at = Some(now + delay);
        self.retry_at
    }

    /// Whether a request can be sent within the limit.
    pub(super) fn has_room(&self) -> bool {
        self.used < self.open || self.total() < self.limit
    }

    /// Takes an idle connection for a request, or a new one.
    pub(super) fn acquire(&mut self) {
        if self.used >= self.open {
            self.open += 1;
        }
        self.used += 1;
    }

    /// Returns a used connection, which stays open.
    pub(super) fn release(&mut self) {
        self.used = self.used.saturating_sub(1);
    }

    /// Counts a used connection as closed.
    pub(super) fn discard(&mut self) {
        self.release();
        self.open = self.open.saturating_sub(1);
    }

    /// Counts all connections as closed.
    pub(super) fn reset(&mut self) {
        self.open = 0;
        self.stale = false;
    }
}
