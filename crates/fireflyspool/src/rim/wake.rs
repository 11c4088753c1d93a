//! Wake-up call of the control thread.

use std::{sync, time};

use crate::{control, timer};

/// The one deadline for which the control thread waits.
pub struct Wake {
    mailbox: control::Mailbox,
    alarm: sync::Mutex<timer::Alarm>,
}

impl Wake {
    /// A wake-up call that is not set.
    pub fn new(timer: timer::TimerService, mailbox: control::Mailbox) -> Self {
        Self {
            mailbox,
            alarm: sync::Mutex::new(timer::Alarm::new(timer)),
        }
    }

    /// Raises [`control::Event::Timer`] at that time; replaces an earlier call.
    pub fn set(&self, at: time::Instant) {
        // Only the control thread locks this; the lock is there for `Sync`.
        let mut alarm = self
            .alarm
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let mailbox = self.mailbox.clone();
        // One that went off at the same time must be set again.
        alarm.clear();
        alarm.set(Some(at), move || {
            // A full queue wakes the control thread by itself.
            let _ = mailbox.send(control::Event::Timer);
        });
    }
}
