//! Timer, random numbers and time of day for the control thread.

use std::{sync, time};

use crate::{control, rim, timer};

/// Environment of the control thread of a running process.
pub struct ProcessEnvironment {
    mailbox: control::Mailbox,
    /// The one deadline for which the control thread waits.
    alarm: sync::Mutex<timer::Alarm>,
}

impl ProcessEnvironment {
    /// An environment without a deadline.
    pub fn new(timer: timer::TimerService, mailbox: control::Mailbox) -> Self {
        Self {
            mailbox,
            alarm: sync::Mutex::new(timer::Alarm::new(timer)),
        }
    }
}

impl control::Environment for ProcessEnvironment {
    fn wake_at(&self, at: time::Instant) {
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

    fn entropy(&self) -> u64 {
        rand::random()
    }

    fn wall_clock(&self) -> u64 {
        rim::wall_millis()
    }
}
