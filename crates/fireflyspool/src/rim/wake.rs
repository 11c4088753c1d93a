//! Wake-up call of the control thread.

use std::{sync, time};

use crate::{control, timer};

/// The one deadline for which the control thread waits.
pub struct Wake {
    timer: timer::TimerService,
    mailbox: control::Mailbox,
    pending: sync::Mutex<Option<timer::TimerToken>>,
}

impl Wake {
    /// A wake-up call that is not set.
    pub fn new(timer: timer::TimerService, mailbox: control::Mailbox) -> Self {
        Self {
            timer,
            mailbox,
            pending: sync::Mutex::default(),
        }
    }

    /// Raises [`control::Event::Timer`] at that time; replaces an earlier call.
    pub fn set(&self, at: time::Instant) {
        // Only the control thread locks this; the lock is there for `Sync`.
        let mut pending = self
            .pending
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(token) = pending.take() {
            self.timer.cancel(token);
        }
        let mailbox = self.mailbox.clone();
        *pending = Some(self.timer.subscribe(at, move || {
            // A full queue wakes the control thread by itself.
            let _ = mailbox.send(control::Event::Timer);
        }));
    }
}
