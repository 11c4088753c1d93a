//! Cancellation of sub-requests and attempts.

use std::time;

use crate::dispatch::{place, waiting};
use crate::{backend, dispatch, ids, view};

impl dispatch::Dispatcher {
    pub(super) fn cancel(&mut self, key: waiting::SubKey, view: &view::View, now: time::Instant) {
        match self.places.get(key) {
            Some(place::Place::Waiting(position)) => {
                self.skip_position(position, dispatch::SkipCause::Cancelled, None, now);
            }
            Some(place::Place::Running(attempt)) => {
                self.fail_attempt(attempt, dispatch::FailureCause::Cancelled);
                // A cancelled straggler would otherwise be missing from the service times,
                // and hedges would be sent earlier and earlier.
                if let Some(running) = self.attempts.get(attempt) {
                    let elapsed = now.duration_since(running.sent);
                    self.times.record(running.server, elapsed, now);
                }
                self.start_cancel(attempt, view, now);
            }
            None => {}
        }
    }

    pub(super) fn cancel_answered(
        &mut self,
        id: ids::AttemptId,
        state: Option<backend::CancelState>,
        view: &view::View,
        now: time::Instant,
    ) {
        if let Some(key) = self.cancels.remove(&id)
            && let Some(server) = self.fleet.get_mut(key)
        {
            server.core_mut().connections.release();
            self.refresh_connections(key, now);
            self.fill(key, view, now);
        }
        // A server that does not know the attempt may still receive it.
        let ended = matches!(
            state,
            Some(backend::CancelState::Cancelled | backend::CancelState::Finished)
        );
        if ended
            && self
                .attempts
                .get(id)
                .is_some_and(|attempt| attempt.reported)
        {
            let attempt = self.end_attempt(id, now);
            if let Some(attempt) = attempt {
                let fingerprint = attempt.entry.request.fingerprint;
                self.after_end(attempt.server, fingerprint, view, now);
            }
        }
    }

    /// Asks the backend server to stop an attempt whose result nobody needs.
    pub(super) fn start_cancel(
        &mut self,
        id: ids::AttemptId,
        view: &view::View,
        now: time::Instant,
    ) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let key = attempt.server;
        if self.cancels.contains_key(&id) || !view.may_act(now) {
            return;
        }
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        let core = server.core_mut();
        if !core.connections.has_room() {
            return;
        }
        core.connections.acquire();
        self.cancels.insert(id, key);
        self.actions.push(dispatch::Action::CancelAttempt {
            attempt: id,
            server: core.name.clone(),
            address: core.address,
        });
    }
}
