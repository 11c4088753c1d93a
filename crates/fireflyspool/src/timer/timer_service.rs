//! The thread that waits for the earliest deadline.

use std::{sync, thread, time};

use crate::{sorted, timer};

type Callback = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct Pending {
    callbacks: sorted::SortedMap<timer::TimerToken, Callback>,
    last_sequence: u64,
    stopped: bool,
}

#[derive(Default)]
struct Shared {
    pending: sync::Mutex<Pending>,
    changed: sync::Condvar,
}

impl Shared {
    fn lock(&self) -> sync::MutexGuard<'_, Pending> {
        // A callback runs outside the lock, so a poisoned lock still holds consistent data.
        self.pending
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Runs callbacks at their deadlines, on one thread.
///
/// All clones share the thread, which runs until [`TimerService::stop`] is called.
#[derive(Clone)]
pub struct TimerService {
    shared: sync::Arc<Shared>,
}

impl TimerService {
    /// Starts the timer thread.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn start() -> std::io::Result<Self> {
        let shared = sync::Arc::new(Shared::default());
        let worker = sync::Arc::clone(&shared);
        thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || run(&worker))?;
        Ok(Self { shared })
    }

    /// Schedules a callback for a deadline; a past deadline is due at once.
    ///
    /// The callback runs on the timer thread and must not block.
    pub fn subscribe(
        &self,
        deadline: time::Instant,
        callback: impl FnOnce() + Send + 'static,
    ) -> timer::TimerToken {
        let mut pending = self.shared.lock();
        pending.last_sequence += 1;
        let token = timer::TimerToken {
            deadline,
            sequence: pending.last_sequence,
        };
        pending.callbacks.insert(token, Box::new(callback));
        let first = pending.callbacks.first();
        let is_first = first.is_some_and(|(first, _)| *first == token);
        drop(pending);
        // The thread sleeps until the earliest deadline, so a later one can wait for that.
        if is_first {
            self.shared.changed.notify_one();
        }
        token
    }

    /// Cancels a subscription; returns whether it was still pending.
    pub fn cancel(&self, token: timer::TimerToken) -> bool {
        self.shared.lock().callbacks.remove(&token).is_some()
    }

    /// Ends the timer thread; pending callbacks never run.
    pub fn stop(&self) {
        self.shared.lock().stopped = true;
        self.shared.changed.notify_one();
    }
}

fn run(shared: &Shared) {
    let mut pending = shared.lock();
    while !pending.stopped {
        let now = time::Instant::now();
        let next = pending.callbacks.first().map(|(token, _)| token.deadline);
        pending = match next {
            Some(deadline) if deadline <= now => {
                let due = pending.callbacks.pop_first();
                drop(pending);
                if let Some((_, callback)) = due {
                    callback();
                }
                shared.lock()
            }
            Some(deadline) => {
                let wait = deadline - now;
                let woken = shared.changed.wait_timeout(pending, wait);
                woken.unwrap_or_else(sync::PoisonError::into_inner).0
            }
            None => {
                let woken = shared.changed.wait(pending);
                woken.unwrap_or_else(sync::PoisonError::into_inner)
            }
        };
    }
}
