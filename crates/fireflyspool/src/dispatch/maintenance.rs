//! Timers, and release of servers.

use std::time;

use crate::dispatch::{fleet, server};
use crate::{dispatch, ids, view};

/// Time after the deadline for which a server may still run an attempt.
///
/// The server counts its deadline from receipt, so this covers the network
/// delay, a retransmission included.
pub(super) const DEADLINE_MARGIN: time::Duration = time::Duration::from_millis(50);

/// Time after the deadline at which the driver closes the connection of an attempt.
///
/// Until then a late answer keeps the connection open and ends the attempt early.
/// Less than [`DEADLINE_MARGIN`]: the connection must be closed before the permit is
/// handed out again.
pub(super) const GIVE_UP_MARGIN: time::Duration = time::Duration::from_millis(25);

impl dispatch::Dispatcher {
    /// Ends waiting sub-requests that can no longer be answered by their deadline.
    pub(super) fn expire(&mut self, now: time::Instant) {
        let latest = self.latest_start(now);
        while let Some(index) = self.backlog.due(latest) {
            self.skip_queued(index, dispatch::SkipCause::Deadline, None, now);
        }
    }

    pub(super) fn run_timers(&mut self, view: &view::View, now: time::Instant) {
        if !self.backlog.is_empty() && !view.may_act(now) {
            self.reassess_all(view, now);
        }
        while let Some(attempt) = self.attempts.due(now) {
            self.handle_timeout(attempt, view, now);
        }
        while let Some((time, key)) = self.wakes.first().map(|(wake, ())| *wake) {
            if now < time {
                break;
            }
            self.wakes.remove(&(time, key));
            self.queue_preconnect(key, now);
            self.fill(key, view, now);
        }
    }

    /// Fails an attempt at its deadline, and frees its permit after the margin.
    fn handle_timeout(&mut self, id: ids::AttemptId, view: &view::View, now: time::Instant) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let end = attempt.sub.deadline + DEADLINE_MARGIN;
        let (key, sent, reported) = (attempt.server, attempt.sent, attempt.reported);
        if !reported {
            let elapsed = now.duration_since(sent);
            // A short deadline of the caller does not make the server slow.
            let median = self.times.quantile(500, now);
            let slow = median.is_none_or(|median| elapsed > median * 2);
            self.times.record(key, elapsed, now);
            self.fail_attempt(id, dispatch::FailureCause::Timeout);
            if slow {
                self.record_failure(key, view, now);
            }
        }
        if now < end {
            self.attempts.set_timer(id, end);
        } else if let Some(attempt) = self.end_attempt(id, now) {
            let fingerprint = attempt.sub.request.fingerprint;
            self.refill(key, fingerprint, view, now);
        }
    }

    /// Stops new work for a server, which is released once its attempts have ended.
    ///
    /// The caller limits ejections, then reassesses waiting sub-requests.
    pub(super) fn begin_leave(&mut self, key: fleet::ServerKey) {
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        if server.is_leaving() {
            return;
        }
        let targets = std::mem::take(&mut server.core_mut().targets);
        for target in targets {
            if let Some(group) = self.backlog.group_mut(target) {
                group.servers.retain(|known| *known != key);
            }
        }
        self.fleet.transform(key, server::Server::leave);
        self.leaving.push(key);
    }

    /// Releases leaving servers that are idle.
    pub(super) fn finish_leaving(&mut self, view: &view::View) {
        if self.draining {
            self.leave_unused();
        }
        let mut index = 0;
        while let Some(key) = self.leaving.get(index).copied() {
            let idle = match self.fleet.get(key) {
                Some(server::Server::Leaving(server)) => server.is_idle(),
                _ => false,
            };
            if !idle {
                index += 1;
                continue;
            }
            self.leaving.remove(index);
            if let Some(server::Server::Leaving(server)) = self.fleet.remove(key) {
                let (name, incarnation) = server.close();
                self.actions.push(dispatch::Action::CloseConnections {
                    server: name.clone(),
                });
                self.actions.push(dispatch::Action::Released {
                    server: name.clone(),
                });
                let record = view.servers.get(&name);
                if record.is_some_and(|record| record.owner == Some(self.node)) {
                    self.released.insert(name, incarnation);
                }
            }
        }
    }

    /// Begins to release the servers that no sub-request waits for.
    fn leave_unused(&mut self) {
        for key in self.fleet.keys() {
            let Some(server) = self.fleet.get(key) else {
                continue;
            };
            let mut targets = server.core().targets.iter();
            let needed = targets.any(|target| {
                let group = self.backlog.group(*target);
                group.is_some_and(|group| group.waiting() > 0)
            });
            if !needed {
                self.begin_leave(key);
            }
        }
    }
}
