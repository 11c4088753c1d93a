//! Crashes of a stand-in server under requests that contain a marker.

use std::{
    sync::{self, atomic},
    time,
};

/// Time from a crash until the server listens again.
pub(super) const RESTART_TIME: time::Duration = time::Duration::from_millis(600);

/// What makes one server crash, and when it did.
#[derive(Default)]
pub(crate) struct Crashes {
    marker: sync::Mutex<Option<String>>,
    midway: atomic::AtomicBool,
    /// Time from the start of a request with the marker to the crash.
    delay: sync::Mutex<time::Duration>,
    /// Ids of the requests under which it crashed, with the time.
    ended: sync::Mutex<Vec<(String, time::Instant)>>,
    down: atomic::AtomicBool,
    due: tokio::sync::Notify,
}

impl Crashes {
    /// Has the server crash when it begins to run a request whose path contains `marker`.
    pub(crate) fn crash_on(&self, marker: &str) {
        *self.marker.lock().expect("no panic") = Some(marker.to_owned());
    }

    /// Has the server crash only after it has written a part of its answer.
    pub(crate) fn crash_midway(&self) {
        self.midway.store(true, atomic::Ordering::Relaxed);
    }

    /// Has the server crash only some time after it began to run a request with the marker.
    pub(crate) fn crash_after(&self, delay: time::Duration) {
        *self.delay.lock().expect("no panic") = delay;
    }

    /// Whether it answers a part of a request before it crashes under it.
    pub(super) fn is_midway(&self, path: &str) -> bool {
        let marker = self.marker.lock().expect("no panic");
        let marked = marker.as_ref().is_some_and(|marker| path.contains(marker));
        marked && self.midway.load(atomic::Ordering::Relaxed)
    }

    /// Ids of the requests under which the server crashed, with the time.
    pub(crate) fn ended(&self) -> Vec<(String, time::Instant)> {
        self.ended.lock().expect("no panic").clone()
    }

    /// Crashes the server without regard to its requests.
    pub(crate) fn crash(&self) {
        self.down.store(true, atomic::Ordering::Relaxed);
        self.due.notify_one();
    }

    pub(super) fn is_down(&self) -> bool {
        self.down.load(atomic::Ordering::Relaxed)
    }

    /// Crashes the server if a request that begins to run has the marker in its path.
    pub(super) async fn begin(&self, path: &str, id: &str) -> bool {
        let marker = self.marker.lock().expect("no panic").clone();
        let marked = marker.is_some_and(|marker| path.contains(&marker));
        let delay = *self.delay.lock().expect("no panic");
        if marked && !delay.is_zero() {
            // A caller that leaves meanwhile does not keep the server from going on.
            tokio::time::sleep(delay).await;
        }
        if marked && !self.is_down() {
            let ended = &mut self.ended.lock().expect("no panic");
            ended.push((id.to_owned(), time::Instant::now()));
            self.crash();
        }
        marked
    }

    /// Waits for the next crash.
    pub(super) async fn crashed(&self) {
        self.due.notified().await;
    }

    pub(super) fn restarted(&self) {
        self.down.store(false, atomic::Ordering::Relaxed);
    }
}
