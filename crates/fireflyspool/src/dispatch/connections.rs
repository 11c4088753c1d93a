//! Connections to one backend server.

/// Connections beyond the slots: one for cancellations and one spare.
const RESERVE: u32 = 2;

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

    /// Whether another connection is wanted ahead of need.
    pub(super) fn wants_more(&self) -> bool {
        self.total() < self.limit
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
        self.opening = 0;
        self.used = 0;
    }
}
