//! Effects of answers, failures and crashes on a backend server.

use std::time;

use crate::dispatch::{acceptance, attempt, fleet, server, target};
use crate::{dispatch, ids, view};

/// In slow start, service times above this multiple of the peers' median count as late.
const LATE_FACTOR: u32 = 3;

/// Service times up to this never count as late; scheduling alone can take that long.
const LATE_FLOOR: time::Duration = time::Duration::from_millis(10);

/// A server whose median exceeds this multiple of the peers' median is demoted as cold.
///
/// Greater than [`LATE_FACTOR`], so that a promoted server is not demoted again at once.
const COLD_FACTOR: u32 = 4;

impl dispatch::Dispatcher {
    /// Records the service time of an answer and adjusts slow start.
    pub(super) fn record_answer(&mut self, attempt: &attempt::Attempt, now: time::Instant) {
        let key = attempt.server;
        let elapsed = now.duration_since(attempt.sent);
        let overall = self.times.quantile(500, now);
        self.times.record(key, elapsed, now);
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        let core = server.core_mut();
        core.record_answer(elapsed);
        let median = core.recent_median();
        if self.suspects.has_any() {
            // A process that answers an attempt sent after the connection was lost did not
            // crash then.
            let core = server.core();
            self.suspects
                .clear(&core.name, core.incarnation, attempt.sent);
        }
        if server.is_warming() {
            let peers = self.times.peer_median(key);
            let late = peers.is_some_and(|peers| elapsed > (peers * LATE_FACTOR).max(LATE_FLOOR));
            if late || now >= attempt.sub.deadline {
                self.record_late(key, now);
            } else {
                self.record_in_time(key, now);
            }
            return;
        }
        // Cheap filter: the median of all servers is cached and rules out nearly every answer.
        let slow = median.filter(|median| {
            *median > LATE_FLOOR
                && overall.is_some_and(|overall| *median > overall * (COLD_FACTOR / 2))
        });
        if let Some(median) = slow {
            let peers = self.times.peer_median(key);
            if peers.is_some_and(|peers| median > peers * COLD_FACTOR) {
                self.demote(key);
            }
        }
    }

    fn record_in_time(&mut self, key: fleet::ServerKey, now: time::Instant) {
        let mut ready = None;
        let mut warm = false;
        if let Some(server::Server::Warming(server)) = self.fleet.get_mut(key) {
            server.stage.record_in_time(now);
            ready = server.stage.not_before;
            warm = server.stage.limit > server.core.slots;
        }
        self.wake_at(key, ready);
        if warm {
            self.fleet.transform(key, server::Server::promote);
        }
    }

    /// Slows down slow start after a late answer or a refusal.
    pub(super) fn record_late(&mut self, key: fleet::ServerKey, now: time::Instant) {
        let mut ready = None;
        if let Some(server::Server::Warming(server)) = self.fleet.get_mut(key) {
            server.stage.record_late(now);
            ready = server.stage.not_before;
        }
        self.wake_at(key, ready);
    }

    /// Counts a failure and ejects the server after too many in a row.
    pub(super) fn record_failure(
        &mut self,
        key: fleet::ServerKey,
        view: &view::View,
        now: time::Instant,
    ) {
        let mut ready = None;
        if let Some(server::Server::Warming(server)) = self.fleet.get_mut(key) {
            server.stage.record_failure(now);
            ready = server.stage.not_before;
        }
        self.wake_at(key, ready);
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        let due = server.core_mut().record_failure();
        if server.is_leaving() || !due || !self.may_eject(key, view, now) {
            return;
        }
        // Jitter of up to 250 ms, so that servers ejected together do not return together.
        let jitter = time::Duration::from_millis(self.entropy % 250);
        if let Some(server) = self.fleet.get_mut(key) {
            server.core_mut().eject(now, jitter);
            let until = server.core().ejected_until;
            self.wake_at(key, until);
        }
        self.demote(key);
        self.reassess_server(key, now);
    }

    /// Demotes a server that looks cold to slow start.
    pub(super) fn demote(&mut self, key: fleet::ServerKey) {
        if self.config.slow_start {
            self.fleet.transform(key, server::Server::demote);
        }
    }

    /// Restarts slow start, even for a server in the middle of it.
    pub(super) fn restart_slow_start(&mut self, key: fleet::ServerKey) {
        if self.config.slow_start {
            self.fleet.transform(key, server::Server::restart);
        }
    }

    /// Sends nothing to a server for the time that it asked for.
    pub(super) fn back_off(
        &mut self,
        key: fleet::ServerKey,
        delay: time::Duration,
        now: time::Instant,
    ) {
        if let Some(server) = self.fleet.get_mut(key) {
            let core = server.core_mut();
            core.backoff_until = core.backoff_until.max(Some(now + delay));
            let until = core.backoff_until;
            self.wake_at(key, until);
        }
    }

    /// Stops sending searches of a shard to a server that announced it but does not host it.
    pub(super) fn mark_not_hosted(&mut self, attempt: &attempt::Attempt) {
        let target::Target::Shard(shard) = acceptance::target_of(&attempt.sub.request) else {
            return;
        };
        let target = attempt.sub.target;
        if let Some(server) = self.fleet.get_mut(attempt.server) {
            let core = server.core_mut();
            core.targets.retain(|known| *known != target);
            core.not_hosted.push(shard);
        }
        if let Some(group) = self.backlog.group_mut(target) {
            group.servers.retain(|known| *known != attempt.server);
        }
    }

    /// Ends waiting sub-requests that no server can run now that this one is blocked.
    pub(super) fn reassess_server(&mut self, key: fleet::ServerKey, now: time::Instant) {
        let targets = self.fleet.get(key).map(|s| s.core().targets.clone());
        for target in targets.unwrap_or_default() {
            self.reassess_target(target, now);
        }
    }

    /// Suspects the request of an attempt during which the server may have crashed.
    pub(super) fn record_crash(&mut self, id: ids::AttemptId, now: time::Instant) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let fingerprint = attempt.sub.request.fingerprint;
        let name = self.server_name(attempt.server);
        let (incarnation, sent) = (attempt.incarnation, attempt.sent);
        let suspects = &mut self.suspects;
        if suspects.record(fingerprint, &name, incarnation, sent, now) {
            self.actions.push(dispatch::Action::ReportCrash {
                fingerprint,
                server: name,
            });
            self.refuse_suspects(now);
        }
    }

    /// Schedules a wake at the end of a pause, backoff or ejection, if there is one.
    pub(super) fn wake_at(&mut self, key: fleet::ServerKey, time: Option<time::Instant>) {
        if let Some(time) = time {
            self.wakes.insert((time, key), ());
        }
    }
}
