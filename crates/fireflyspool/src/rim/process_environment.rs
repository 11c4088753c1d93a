//! Timer, random numbers and wall-clock time for the control thread.

use std::{sync, time};

use crate::{control, rim, timer};

/// [`control::Environment`] of a running process, as opposed to a simulation.
pub struct ProcessEnvironment {
    mailbox: control::Mailbox,
    /// Next deadline of the control thread.
    alarm: sync::Mutex<timer::Alarm>,
}

impl ProcessEnvironment {
    /// Creates an environment with no deadline set.
    pub fn new(timer: timer::TimerService, mailbox: control::Mailbox) -> Self {
        Self {
            mailbox,
            alarm: sync::Mutex::new(timer::Alarm::new(timer)),
        }
    }
}

impl control::Environment for ProcessEnvironment {
    fn wake_at(&self, at: time::Instant) {
        // Never contended: only the control thread locks it. `Sync` requires a lock.
        let mut alarm = self
            .alarm
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let mailbox = self.mailbox.clone();
        // `set` ignores an unchanged deadline, even if its alarm has already fired.
        alarm.clear();
        alarm.set(Some(at), move || {
            // If the mailbox is full, its messages wake the control thread anyway.
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
