//! Guard that counts running requests.

use std::sync::{self, atomic};

/// Counts one running request until it is dropped.
pub struct RunningGuard {
    count: sync::Arc<atomic::AtomicUsize>,
}

impl RunningGuard {
    /// Increments the count.
    pub fn enter(count: &sync::Arc<atomic::AtomicUsize>) -> Self {
        count.fetch_add(1, atomic::Ordering::SeqCst);
        Self {
            count: sync::Arc::clone(count),
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
