//! Guard that counts a running request.

use std::sync::{self, atomic};

/// Counts one running request until it is dropped.
pub(super) struct RunningGuard(sync::Arc<atomic::AtomicUsize>);

impl RunningGuard {
    /// Increments `count`.
    pub(super) fn new(count: &sync::Arc<atomic::AtomicUsize>) -> Self {
        count.fetch_add(1, atomic::Ordering::Relaxed);
        Self(sync::Arc::clone(count))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
