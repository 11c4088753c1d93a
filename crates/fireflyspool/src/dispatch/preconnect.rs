//! Connections opened before requests need them.

use std::time;

use crate::dispatch::fleet;
use crate::{dispatch, ids, view};

/// Minimum time between two preconnects of a dispatcher.
const OPEN_INTERVAL: time::Duration = time::Duration::from_millis(4);

/// Bound on the random addition to the interval, so that owners do not open connections in step.
const OPEN_JITTER_MICROS: u64 = 4_000;

impl dispatch::Dispatcher {
    /// Handles the result of a preconnect.
    pub(super) fn connect_finished(
        &mut self,
        name: &str,
        incarnation: ids::Incarnation,
        success: bool,
        view: &view::View,
        now: time::Instant,
    ) {
        let Some(key) = self.fleet.find(name) else {
            return;
        };
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        let core = server.core_mut();
        if core.connections.opening == 0 {
            return;
        }
        let current = core.incarnation == incarnation;
        if success {
            core.connections.opened();
        } else {
            let retry = core.connections.open_failed(now);
            self.wake_at(key, retry);
        }
        self.close_stale(key, now);
        if !success && current {
            self.demote(key);
            self.record_failure(key, view, now);
        }
        self.fill(key, view, now);
    }

    /// Closes the connections to an ended process once none is in use.
    ///
    /// Until then they count as open, because some may lead to the new process.
    pub(super) fn close_stale(&mut self, key: fleet::ServerKey, now: time::Instant) {
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        let core = server.core_mut();
        if core.connections.stale && core.connections.is_idle() {
            core.connections.reset();
            self.actions.push(dispatch::Action::CloseConnections {
                server: core.name.clone(),
            });
            self.queue_preconnect(key, now);
        }
    }

    /// Queues a server that may get another connection.
    pub(super) fn queue_preconnect(&mut self, key: fleet::ServerKey, now: time::Instant) {
        if let Some(server) = self.fleet.get_mut(key) {
            let usable = server.is_usable();
            let connections = &mut server.core_mut().connections;
            if usable && connections.wants_more(now) && !connections.queued {
                connections.queued = true;
                self.preconnects.push_back(key);
            }
        }
    }

    /// Opens a connection to the first queued server that may get one, if the interval is over.
    pub(super) fn preconnect(&mut self, view: &view::View, now: time::Instant) {
        if self.preconnects.is_empty() || self.next_preconnect.is_some_and(|next| now < next) {
            return;
        }
        if !view.may_act(now) {
            // The next lease comes with a new view, and `sync` queues the servers again.
            self.clear_preconnects();
            return;
        }
        while let Some(key) = self.preconnects.pop_front() {
            let allowed = self.may_send(key, view, now);
            let Some(server) = self.fleet.get_mut(key) else {
                continue;
            };
            let usable = server.is_usable();
            let core = server.core_mut();
            core.connections.queued = false;
            if !allowed || !usable || !core.connections.wants_more(now) {
                continue;
            }
            core.connections.opening += 1;
            self.actions.push(dispatch::Action::OpenConnections {
                server: core.name.clone(),
                incarnation: core.incarnation,
                address: core.address,
                count: 1,
            });
            self.queue_preconnect(key, now);
            let jitter = time::Duration::from_micros(self.entropy % OPEN_JITTER_MICROS);
            self.next_preconnect = Some(now + OPEN_INTERVAL + jitter);
            return;
        }
    }

    fn clear_preconnects(&mut self) {
        while let Some(key) = self.preconnects.pop_front() {
            if let Some(server) = self.fleet.get_mut(key) {
                server.core_mut().connections.queued = false;
            }
        }
    }
}
