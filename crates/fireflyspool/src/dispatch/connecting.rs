//! Connections opened ahead of need.

use std::time;

use crate::dispatch::fleet;
use crate::{dispatch, ids, view};

/// Least time between two connections opened ahead of need.
const OPEN_INTERVAL: time::Duration = time::Duration::from_millis(4);

/// Largest random addition to the interval, in microseconds, so that owners do not open in step.
const OPEN_JITTER_MICROS: u64 = 4_000;

impl dispatch::Dispatcher {
    /// Takes note of a connection that was opened ahead of need, or could not be.
    pub(super) fn opened(
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
        self.refresh_connections(key, now);
        if !success && current {
            self.cool(key);
            self.note_failure(key, view, now);
        }
        self.fill(key, view, now);
    }

    /// Closes the connections to a process that has ended, once none is in use.
    ///
    /// Until then they count as open, because some may lead to the new process.
    pub(super) fn refresh_connections(&mut self, key: fleet::ServerKey, now: time::Instant) {
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        let core = server.core_mut();
        if core.connections.stale && core.connections.is_quiet() {
            core.connections.reset();
            self.actions.push(dispatch::Action::CloseConnections {
                server: core.name.clone(),
            });
            self.list_wanting(key, now);
        }
    }

    /// Puts a server on the list of those that want another connection.
    pub(super) fn list_wanting(&mut self, key: fleet::ServerKey, now: time::Instant) {
        if let Some(server) = self.fleet.get_mut(key) {
            let usable = server.is_usable();
            let connections = &mut server.core_mut().connections;
            if usable && connections.wants_more(now) && !connections.listed {
                connections.listed = true;
                self.wanting.push_back(key);
            }
        }
    }

    /// Opens at most one connection ahead of need.
    pub(super) fn open_ahead(&mut self, view: &view::View, now: time::Instant) {
        if self.wanting.is_empty() || self.next_open.is_some_and(|next| now < next) {
            return;
        }
        if !view.may_act(now) {
            // The next lease brings a new view, which lists the servers again.
            self.unlist_all();
            return;
        }
        while let Some(key) = self.wanting.pop_front() {
            let allowed = self.may_send(key, view, now);
            let Some(server) = self.fleet.get_mut(key) else {
                continue;
            };
            let usable = server.is_usable();
            let core = server.core_mut();
            core.connections.listed = false;
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
            self.list_wanting(key, now);
            let jitter = time::Duration::from_micros(self.entropy % OPEN_JITTER_MICROS);
            self.next_open = Some(now + OPEN_INTERVAL + jitter);
            return;
        }
    }

    fn unlist_all(&mut self) {
        while let Some(key) = self.wanting.pop_front() {
            if let Some(server) = self.fleet.get_mut(key) {
                server.core_mut().connections.listed = false;
            }
        }
    }
}
