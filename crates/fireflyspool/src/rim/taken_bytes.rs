//! Bytes that one message has taken from a pool.

use std::sync;

use crate::rim::receive_pool;

/// Bytes taken from a pool, given back when this is dropped.
pub struct TakenBytes {
    pool: sync::Arc<receive_pool::ReceivePool>,
    bytes: usize,
}

impl TakenBytes {
    /// Takes nothing yet.
    pub(super) fn none(pool: sync::Arc<receive_pool::ReceivePool>) -> Self {
        Self { pool, bytes: 0 }
    }

    /// Takes what is missing up to `bytes` in all; returns whether the pool held as many.
    pub(super) fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let has_grown = self.pool.take(missing);
        if has_grown {
            self.bytes += missing;
        }
        has_grown
    }
}

impl Drop for TakenBytes {
    fn drop(&mut self) {
        self.pool.give_back(self.bytes);
    }
}
