//! Cancellation of sub-requests and attempts.

use std::time;

use crate::dispatch::{pending_sub, sub_state};
use crate::{backend, dispatch, ids, view};

impl dispatch::Dispatcher {
    pub(super) fn cancel(
        &mut self,
        key: pending_sub::SubKey,
        view: &view::View,
        now: time::Instant,
    ) {
        match self.subs.get(key) {
            Some(sub_state::SubState::Waiting(index)) => {
                self.skip_queued(index, dispatch::SkipCause::Cancelled, None, now);
            }
            Some(sub_state::SubState::Running(attempt)) => {
                self.fail_attempt(attempt, dispatch::FailureCause::Cancelled);
                // Hedges cancel slow attempts. Leaving these out of the service times would
                // lower the hedge delay again and again.
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
            self.close_stale(key, now);
            self.fill(key, view, now);
        }
        // After `Unknown` the server may still receive the attempt.
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
                let fingerprint = attempt.sub.request.fingerprint;
                self.refill(attempt.server, fingerprint, view, now);
            }
        }
    }

    /// Cancels an attempt whose result is no longer needed, if a connection is free for it.
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
