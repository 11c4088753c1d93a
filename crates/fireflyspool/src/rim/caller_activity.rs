//! Use of one caller's connection.

use std::{sync::atomic, time};

/// When a connection was last used.
pub(super) struct CallerActivity {
    start: time::Instant,
    running: atomic::AtomicUsize,
    /// Milliseconds since `start`.
    used: atomic::AtomicU64,
}

impl Default for CallerActivity {
    fn default() -> Self {
        Self {
            start: time::Instant::now(),
            running: atomic::AtomicUsize::new(0),
            used: atomic::AtomicU64::new(0),
        }
    }
}

impl CallerActivity {
    /// Notes that a request begins.
    pub(super) fn begin(&self) {
        self.running.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Notes that a request ended.
    pub(super) fn end(&self) {
        self.running.fetch_sub(1, atomic::Ordering::Relaxed);
        let elapsed = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.used.store(elapsed, atomic::Ordering::Relaxed);
    }

    /// When the connection has been idle for that long; `None` while it is in use.
    pub(super) fn idle_at(&self, idle: time::Duration) -> time::Instant {
        let used = time::Duration::from_millis(self.used.load(atomic::Ordering::Relaxed));
        match self.running.load(atomic::Ordering::Relaxed) {
            0 => self.start + used + idle,
            _ => time::Instant::now() + idle,
        }
    }
}
