//! Memory that the messages under way take together.

use std::sync::atomic;

/// Bytes that all messages of one kind may hold at a time, beyond a small share of each.
///
/// A limit for each message alone does not bound a process: many peers that send without end
/// fill as many times the limit.
pub(super) struct ReceivePool {
    left: atomic::AtomicUsize,
}

impl ReceivePool {
    /// Creates a pool of `bytes`.
    pub(super) fn new(bytes: usize) -> Self {
        Self {
            left: atomic::AtomicUsize::new(bytes),
        }
    }

    /// Takes bytes from the pool; returns whether it held as many.
    pub(super) fn take(&self, bytes: usize) -> bool {
        let order = atomic::Ordering::Relaxed;
        let taken = self
            .left
            .fetch_update(order, order, |left| left.checked_sub(bytes));
        taken.is_ok()
    }

    /// Gives bytes back that were taken before.
    pub(super) fn give_back(&self, bytes: usize) {
        self.left.fetch_add(bytes, atomic::Ordering::Relaxed);
    }
}
