//! Count of running requests.

use std::sync::atomic;

/// Counts a running request.
pub(super) struct Running<'a>(&'a atomic::AtomicUsize);

impl<'a> Running<'a> {
    /// Counts one request until it is dropped.
    pub(super) fn new(count: &'a atomic::AtomicUsize) -> Self {
        count.fetch_add(1, atomic::Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
