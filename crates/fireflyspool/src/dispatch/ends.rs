//! Ends of attempts, whatever caused them.

use std::time;

use crate::dispatch::{attempt, fleet, server};
use crate::{dispatch, ids, view};

impl dispatch::Dispatcher {
    /// Counts a reply that does not fit; the attempt may still run.
    pub(super) fn bad_reply(&mut self, id: ids::AttemptId, view: &view::View, now: time::Instant) {
        let Some(key) = self.unlink(id, true, now) else {
            return;
        };
        self.fail_attempt(id, dispatch::FailureCause::BadReply);
        self.note_failure(key, view, now);
        self.start_cancel(id, view, now);
    }

    /// Takes note that an attempt no longer uses its connection, which stays open or closes.
    pub(super) fn unlink(
        &mut self,
        id: ids::AttemptId,
        keeps: bool,
        now: time::Instant,
    ) -> Option<fleet::ServerKey> {
        let attempt = self.attempts.get_mut(id)?;
        let was_linked = std::mem::take(&mut attempt.linked);
        let key = attempt.server;
        if was_linked && let Some(server) = self.fleet.get_mut(key) {
            let connections = &mut server.core_mut().connections;
            if keeps {
                connections.release();
            } else {
                connections.lose();
                self.list_wanting(key, now);
            }
            self.refresh_connections(key, now);
        }
        Some(key)
    }

    /// Frees the permit of an attempt.
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
            if attempt.linked {
                core.connections.release();
            }
        }
        self.refresh_connections(attempt.server, now);
        self.wake_at(attempt.server, ready);
        Some(attempt)
    }

    /// Uses the permit that an attempt has freed.
    pub(super) fn after_end(
        &mut self,
        key: fleet::ServerKey,
        fingerprint: ids::Fingerprint,
        view: &view::View,
        now: time::Instant,
    ) {
        if self.suspects.is_suspect(fingerprint, now) {
            // The same content may have been held back at any server.
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
