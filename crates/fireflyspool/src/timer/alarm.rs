//! One deadline that moves.

use std::time;

use crate::timer;

/// Subscription to the next deadline of a state machine.
///
/// Dropping it cancels the subscription.
pub struct Alarm {
    timer: timer::TimerService,
    armed: Option<timer::TimerToken>,
}

impl Alarm {
    /// An alarm that is not set.
    pub fn new(timer: timer::TimerService) -> Self {
        Self { timer, armed: None }
    }

    /// Moves the alarm to a deadline, or clears it; an unchanged one stays.
    ///
    /// The callback runs on the timer thread and must not block.
    pub fn set(&mut self, next: Option<time::Instant>, callback: impl FnOnce() + Send + 'static) {
        if self.armed.map(|token| token.deadline) == next {
            return;
        }
        self.clear();
        self.armed = next.map(|at| self.timer.subscribe(at, callback));
    }

    /// Clears the alarm.
    pub fn clear(&mut self) {
        if let Some(token) = self.armed.take() {
            self.timer.cancel(token);
        }
    }
}

impl Drop for Alarm {
    fn drop(&mut self) {
        self.clear();
    }
}
