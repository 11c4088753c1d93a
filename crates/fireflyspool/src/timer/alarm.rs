//! Timer with one movable deadline.

use std::time;

use crate::timer;

/// Timer for the next deadline of a state machine; at most one is pending.
///
/// Dropping it cancels the subscription.
pub struct Alarm {
    timer: timer::TimerService,
    pending: Option<timer::TimerToken>,
}

impl Alarm {
    /// Creates an alarm without a deadline.
    pub fn new(timer: timer::TimerService) -> Self {
        Self {
            timer,
            pending: None,
        }
    }

    /// Moves the alarm to a deadline, or clears it for `None`.
    ///
    /// If the deadline is unchanged, the earlier callback stays and the new one is dropped.
    ///
    /// The callback runs on the timer thread and must not block.
    pub fn set(&mut self, next: Option<time::Instant>, callback: impl FnOnce() + Send + 'static) {
        if self.pending.map(|token| token.deadline) == next {
            return;
        }
        self.clear();
        self.pending = next.map(|deadline| self.timer.subscribe(deadline, callback));
    }

    /// Cancels the pending callback, if any.
    pub fn clear(&mut self) {
        if let Some(token) = self.pending.take() {
            self.timer.cancel(token);
        }
    }
}

impl Drop for Alarm {
    fn drop(&mut self) {
        self.clear();
    }
}
