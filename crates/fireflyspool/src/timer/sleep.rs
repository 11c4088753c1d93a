//! Future that waits for a deadline.

use std::{
    future, pin,
    task::{self, Poll},
    time,
};

use tokio::sync::oneshot;

use crate::timer;

/// Future that completes at its deadline; dropping it cancels the subscription.
pub struct Sleep {
    timer: timer::TimerService,
    token: timer::TimerToken,
    receiver: oneshot::Receiver<()>,
}

impl timer::TimerService {
    /// Waits for a duration.
    pub fn sleep(&self, duration: time::Duration) -> Sleep {
        self.sleep_until(time::Instant::now() + duration)
    }

    /// Waits until a point in time.
    pub fn sleep_until(&self, deadline: time::Instant) -> Sleep {
        let (sender, receiver) = oneshot::channel();
        let token = self.subscribe(deadline, move || {
            // Sending fails if the sleep was dropped, which needs no handling.
            let _ = sender.send(());
        });
        Sleep {
            timer: self.clone(),
            token,
            receiver,
        }
    }
}

impl Sleep {
    /// Moves the deadline; an unchanged one keeps its subscription.
    pub fn reset(&mut self, deadline: time::Instant) {
        if deadline != self.token.deadline {
            *self = self.timer.sleep_until(deadline);
        }
    }
}

impl future::Future for Sleep {
    type Output = ();

    fn poll(mut self: pin::Pin<&mut Self>, context: &mut task::Context<'_>) -> Poll<()> {
        // A sender that was dropped without sending also completes the sleep.
        pin::Pin::new(&mut self.receiver).poll(context).map(|_| ())
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.timer.cancel(self.token);
    }
}
