//! What answers and failures say about a backend server.

use std::time;

use crate::dispatch::{attempt, fleet, intake, server, target};
use crate::{dispatch, ids, view};

/// Service times above this multiple of the peers' median are late for a warming server.
const LATE_FACTOR: u32 = 3;

/// Service times up to this are never late; scheduling alone can take that long.
const NEVER_LATE: time::Duration = time::Duration::from_millis(10);

/// Median above this multiple of the peers' median marks a server as cold.
///
/// Above the late factor, so that a server that was just promoted does not fall back at once.
const COLD_FACTOR: u32 = 4;

impl dispatch::Dispatcher {
    /// Takes note of an answer.
    pub(super) fn note_answer(&mut self, attempt: &attempt::Attempt, now: time::Instant) {
        let key = attempt.server;
        let elapsed = now.duration_since(attempt.sent);
        let all = self.times.quantile(500, now);
        self.times.record(key, elapsed, now);
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        let core = server.core_mut();
        core.record_answer(elapsed);
        let median = core.recent_median();
        if self.suspects.any() {
            // A process that answers what was sent after a break did not crash then.
            let core = server.core();
            self.suspects
                .clear(&core.name, core.incarnation, attempt.sent);
        }
        if server.is_warming() {
            let peers = self.times.peer_median(key);
            let late = peers.is_some_and(|peers| elapsed > (peers * LATE_FACTOR).max(NEVER_LATE));
            if late || now >= attempt.entry.deadline {
                self.note_late(key, now);
            } else {
                self.note_in_time(key, now);
            }
            return;
        }
        // The median of all servers costs nothing and rules out nearly every answer.
        let slow = median.filter(|median| {
            *median > NEVER_LATE && all.is_some_and(|all| *median > all * (COLD_FACTOR / 2))
        });
        if let Some(median) = slow {
            let peers = self.times.peer_median(key);
            if peers.is_some_and(|peers| median > peers * COLD_FACTOR) {
                self.cool(key);
            }
        }
    }

    fn note_in_time(&mut self, key: fleet::ServerKey, now: time::Instant) {
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

    /// Slows the slow start of a warming server.
    pub(super) fn note_late(&mut self, key: fleet::ServerKey, now: time::Instant) {
        let mut ready = None;
        if let Some(server::Server::Warming(server)) = self.fleet.get_mut(key) {
            server.stage.record_late(now);
            ready = server.stage.not_before;
        }
        self.wake_at(key, ready);
    }

    /// Takes note of a failure and ejects the server if it keeps failing.
    pub(super) fn note_failure(
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
        // Up to a quarter of a second, so that servers that failed together return apart.
        let jitter = time::Duration::from_millis(self.entropy % 250);
        if let Some(server) = self.fleet.get_mut(key) {
            server.core_mut().eject(now, jitter);
            let until = server.core().ejected_until;
            self.wake_at(key, until);
        }
        self.cool(key);
        self.reassess_server(key, now);
    }

    /// Puts a server that looks cold back into slow start.
    pub(super) fn cool(&mut self, key: fleet::ServerKey) {
        if self.config.slow_start {
            self.fleet.transform(key, server::Server::cool);
        }
    }

    /// Begins slow start anew, whatever the server has proved before.
    pub(super) fn start_slowly(&mut self, key: fleet::ServerKey) {
        if self.config.slow_start {
            self.fleet.transform(key, server::Server::restart);
        }
    }

    /// Leaves a server alone for the time that it asked for.
    pub(super) fn rest(&mut self, key: fleet::ServerKey, rest: time::Duration, now: time::Instant) {
        if let Some(server) = self.fleet.get_mut(key) {
            let core = server.core_mut();
            core.rest_until = core.rest_until.max(Some(now + rest));
            let until = core.rest_until;
            self.wake_at(key, until);
        }
    }

    /// Takes note that a server does not host a shard that it announced.
    pub(super) fn deny(&mut self, attempt: &attempt::Attempt) {
        let target::Target::Shard(shard) = intake::target_of(&attempt.entry.request) else {
            return;
        };
        let target = attempt.entry.target;
        if let Some(server) = self.fleet.get_mut(attempt.server) {
            let core = server.core_mut();
            core.targets.retain(|known| *known != target);
            core.denied.push(shard);
        }
        if let Some(group) = self.backlog.group_mut(target) {
            group.servers.retain(|known| *known != attempt.server);
        }
    }

    /// Ends what waits for this server without hope.
    pub(super) fn reassess_server(&mut self, key: fleet::ServerKey, now: time::Instant) {
        let targets = self.fleet.get(key).map(|s| s.core().targets.clone());
        for target in targets.unwrap_or_default() {
            self.reassess(target, now);
        }
    }

    /// Takes note that a server may have crashed while it ran an attempt.
    pub(super) fn note_crash(&mut self, id: ids::AttemptId, now: time::Instant) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let fingerprint = attempt.entry.request.fingerprint;
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

    pub(super) fn wake_at(&mut self, key: fleet::ServerKey, time: Option<time::Instant>) {
        if let Some(time) = time {
            self.wakes.insert((time, key), ());
        }
    }
}
