//! Guard that counts a running request.

use std::sync::atomic;

/// Counts one running request until it is dropped.
pub(super) struct RunningGuard<'a>(&'a atomic::AtomicUsize);

impl<'a> RunningGuard<'a> {
    /// Increments `count`.
    pub(super) fn new(count: &'a atomic::AtomicUsize) -> Self {
        count.fetch_add(1, atomic::Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
