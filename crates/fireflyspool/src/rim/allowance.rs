//! What may still be read for one response.

use std::sync::{self, atomic};

use crate::rim::receive_pool;

/// Largest response, head included; many times the largest one of any known service.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Bytes of a response that are not taken from the pool, so that common responses arrive
/// whatever others send.
const FREE_BYTES: usize = 16 * 1024;

/// Limit on the bytes of a response; it is renewed for each response of a connection.
pub(super) struct Allowance {
    pool: sync::Arc<receive_pool::ReceivePool>,
    read: atomic::AtomicUsize,
}

impl Allowance {
    /// Allowance of a connection whose responses share a pool with others.
    pub(super) fn new(pool: sync::Arc<receive_pool::ReceivePool>) -> Self {
        Self {
            pool,
            read: atomic::AtomicUsize::new(0),
        }
    }

    /// Begins the next response; what the former one took goes back to the pool.
    pub(super) fn renew(&self) {
        let read = self.read.swap(0, atomic::Ordering::Relaxed);
        self.pool.give_back(pooled(read));
    }

    /// Counts bytes that were read; returns whether they may be kept.
    pub(super) fn spend(&self, bytes: usize) -> bool {
        // One task reads the connection, so nothing is counted in between.
        let before = self.read.load(atomic::Ordering::Relaxed);
        let read = before + bytes;
        let allowed = read <= MAX_RESPONSE_BYTES && self.pool.take(pooled(read) - pooled(before));
        if allowed {
            self.read.store(read, atomic::Ordering::Relaxed);
        }
        allowed
    }
}

impl Drop for Allowance {
    fn drop(&mut self) {
        self.renew();
    }
}

/// Part of a response that is taken from the pool.
fn pooled(read: usize) -> usize {
    read.saturating_sub(FREE_BYTES)
}
