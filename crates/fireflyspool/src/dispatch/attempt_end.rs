//! End of attempts: connection, permit, and use of the freed permit.

use std::time;

use crate::dispatch::{attempt, fleet, server};
use crate::{dispatch, ids, view};

impl dispatch::Dispatcher {
    /// Fails an attempt whose reply is invalid, and cancels it, because it may still run.
    pub(super) fn reject_reply(
        &mut self,
        id: ids::AttemptId,
        view: &view::View,
        now: time::Instant,
    ) {
        let Some(key) = self.release_connection(id, true, now) else {
            return;
        };
        self.fail_attempt(id, dispatch::FailureCause::BadReply);
        self.record_failure(key, view, now);
        self.start_cancel(id, view, now);
    }

    /// Frees the connection of an attempt, which stays open if it is reusable.
    pub(super) fn release_connection(
        &mut self,
        id: ids::AttemptId,
        reusable: bool,
        now: time::Instant,
    ) -> Option<fleet::ServerKey> {
        let attempt = self.attempts.get_mut(id)?;
        let was_held = std::mem::take(&mut attempt.holds_connection);
        let key = attempt.server;
        if was_held && let Some(server) = self.fleet.get_mut(key) {
            let connections = &mut server.core_mut().connections;
            if reusable {
                connections.release();
            } else {
                connections.discard();
                self.queue_preconnect(key, now);
            }
            self.close_stale(key, now);
        }
        Some(key)
    }

    /// Removes an attempt and frees its permit.
    pub(super) fn end_attempt(
        &mut self,
        id: ids::AttemptId,
        now: time::Instant,
    ) -> Option<Box<attempt::Attempt>> {
        let attempt = self.attempts.remove(id)?;
        let mut ready = None;
        if let Some(server) = self.fleet.get_mut(attempt.server) {
            if let server::Server::Warming(server) = server {
                server.stage.start_pause(now);
                ready = server.stage.not_before;
            }
            let core = server.core_mut();
            core.attempts.retain(|held| *held != id);
            if attempt.holds_connection {
                core.connections.release();
            }
        }
        self.close_stale(attempt.server, now);
        self.wake_at(attempt.server, ready);
        Some(attempt)
    }

    /// Gives a permit that an attempt has freed to waiting sub-requests.
    pub(super) fn refill(
        &mut self,
        key: fleet::ServerKey,
        fingerprint: ids::Fingerprint,
        view: &view::View,
        now: time::Instant,
    ) {
        if self.suspects.is_suspect(fingerprint, now) {
            // Sub-requests with the same fingerprint may have been held back at any server.
            self.fill_all(view, now);
        } else {
            self.fill(key, view, now);
        }
    }

    pub(super) fn server_name(&self, key: fleet::ServerKey) -> ids::ServerName {
        let server = self.fleet.get(key);
        server.map_or_else(String::new, |server| server.core().name.clone())
    }
}
