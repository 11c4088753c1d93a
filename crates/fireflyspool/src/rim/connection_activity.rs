//! Idle time of one caller's connection.

use std::{sync::atomic, time};

/// Running requests of a connection and the time of its last use.
pub(super) struct ConnectionActivity {
    start: time::Instant,
    running: atomic::AtomicUsize,
    /// End of the last request, in milliseconds since `start`.
    last_used: atomic::AtomicU64,
}

impl Default for ConnectionActivity {
    fn default() -> Self {
        Self {
            start: time::Instant::now(),
            running: atomic::AtomicUsize::new(0),
            last_used: atomic::AtomicU64::new(0),
        }
    }
}

impl ConnectionActivity {
    /// Records the start of a request.
    pub(super) fn begin(&self) {
        self.running.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Records the end of a request.
    pub(super) fn end(&self) {
        self.running.fetch_sub(1, atomic::Ordering::Relaxed);
        let elapsed = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_used.store(elapsed, atomic::Ordering::Relaxed);
    }

    /// When the connection will have been idle for `idle`, assuming that a running
    /// request ends now.
    pub(super) fn idle_at(&self, idle: time::Duration) -> time::Instant {
        let used = time::Duration::from_millis(self.last_used.load(atomic::Ordering::Relaxed));
        match self.running.load(atomic::Ordering::Relaxed) {
            0 => self.start + used + idle,
            _ => time::Instant::now() + idle,
        }
    }
}
