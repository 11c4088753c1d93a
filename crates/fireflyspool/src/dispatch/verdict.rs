//! Whether a sub-request can wait, and the record of that decision.

use std::time;

use crate::dispatch::{backlog, fleet, server, target, waiting};
use crate::{dispatch, ids, sorted, view};

/// Rests up to this long are waited for; a coordinator has no faster way to another replica.
const SHORT_REST: time::Duration = time::Duration::from_millis(20);

/// Passed-over servers in one decision; submissions could list hundreds.
const MOST_LISTED: usize = 8;

impl dispatch::Dispatcher {
    /// Cause for which waiting is of no use; `None` if some server can come free.
    pub(super) fn verdict(
        &self,
        entry: &waiting::Waiting,
        now: time::Instant,
    ) -> Option<(dispatch::SkipCause, Option<time::Duration>)> {
        let servers = self.backlog.group(entry.target).map(|group| &group.servers);
        let mut soonest: Option<time::Instant> = None;
        let mut shedding = false;
        for key in servers.into_iter().flatten() {
            let Some(server) = self.fleet.get(*key) else {
                continue;
            };
            let core = server.core();
            if !server.is_usable() || entry.excludes(&core.name) {
                continue;
            }
            let until = core.blocked_until(now)?;
            soonest = Some(soonest.map_or(until, |soonest| soonest.min(until)));
            shedding |= core.is_resting(now);
        }
        let Some(soonest) = soonest else {
            return Some((entry.refusal.unwrap_or(dispatch::SkipCause::NoServer), None));
        };
        let rest = soonest.duration_since(now);
        if rest <= SHORT_REST && soonest < entry.deadline {
            return None;
        }
        let cause = if shedding {
            dispatch::SkipCause::Shedding
        } else {
            dispatch::SkipCause::NoServer
        };
        Some((cause, Some(rest)))
    }

    /// Ends everything that waits for a target without hope.
    pub(super) fn reassess(&mut self, target: target::TargetKey, now: time::Instant) {
        let queues = self.backlog.group(target).map(|group| &group.queues);
        let keys = queues
            .into_iter()
            .flatten()
            .flat_map(sorted::SortedMap::keys);
        let positions = keys.map(|key| key.position).collect::<Vec<_>>();
        self.reassess_positions(positions, now);
    }

    fn reassess_positions(&mut self, positions: Vec<backlog::Position>, now: time::Instant) {
        for position in positions {
            let verdict = self.backlog.entry(position);
            let verdict = verdict.and_then(|entry| self.verdict(entry, now));
            if let Some((cause, retry_after)) = verdict {
                self.skip_position(position, cause, retry_after, now);
            }
        }
    }

    /// Ends everything that waits only for servers that cannot be used any more.
    pub(super) fn reassess_all(&mut self, view: &view::View, now: time::Instant) {
        if self.backlog.is_empty() {
            return;
        }
        if !view.may_act(now) {
            for position in self.backlog.positions(|_| true) {
                self.skip_position(position, dispatch::SkipCause::NoLease, None, now);
            }
        }
        let positions = self.backlog.positions(|_| true);
        self.reassess_positions(positions, now);
        self.refuse_suspects(now);
    }

    /// Ends everything that waits under a content that has crashed too many servers.
    pub(super) fn refuse_suspects(&mut self, now: time::Instant) {
        if !self.suspects.any() {
            return;
        }
        let suspects = &self.suspects;
        let refused = self
            .backlog
            .positions(|entry| suspects.is_refused(entry.request.fingerprint, now));
        for position in refused {
            self.skip_position(position, dispatch::SkipCause::Suspect, None, now);
        }
    }

    /// Record of a decision; `chosen` is `None` if the sub-request was not placed.
    pub(super) fn decision(
        &self,
        entry: &waiting::Waiting,
        chosen: Option<(fleet::ServerKey, ids::AttemptId)>,
        reason: dispatch::PlacementReason,
        now: time::Instant,
    ) -> dispatch::Decision {
        let (snapshot, shard) = match &entry.request.work {
            dispatch::Work::Search {
                snapshot, shard, ..
            } => (Some(snapshot.clone()), Some(*shard)),
            dispatch::Work::Submit { .. } => (None, None),
        };
        let group = self.backlog.group(entry.target);
        let keys = group.into_iter().flat_map(|group| &group.servers);
        let others = keys.filter(|key| chosen.is_none_or(|(chosen, _)| chosen != **key));
        let passed = others.take(MOST_LISTED).filter_map(|key| {
            let server = self.fleet.get(*key)?;
            Some((server.core().name.clone(), cause(server, entry, now)))
        });
        let server = chosen.and_then(|(key, _)| self.fleet.get(key));
        dispatch::Decision {
            request: entry.request.request.clone(),
            snapshot,
            shard,
            server: server.map(|server| server.core().name.clone()),
            attempt: chosen.map(|(_, attempt)| attempt),
            reason,
            waited: now.duration_since(entry.arrived),
            passed_over: passed.collect(),
        }
    }
}

/// Why a backend server was not chosen for a sub-request.
fn cause(
    server: &server::Server,
    entry: &waiting::Waiting,
    now: time::Instant,
) -> dispatch::PassCause {
    let core = server.core();
    if server.is_leaving() {
        dispatch::PassCause::Leaving
    } else if !core.eligible {
        dispatch::PassCause::NotEligible
    } else if entry.excludes(&core.name) {
        dispatch::PassCause::Excluded
    } else if core.is_resting(now) {
        dispatch::PassCause::Shedding
    } else if core.is_ejected(now) {
        dispatch::PassCause::Ejected
    } else if server.free_permits(now) > 0 {
        dispatch::PassCause::NotPreferred
    } else if server.is_warming() {
        dispatch::PassCause::Warming
    } else {
        dispatch::PassCause::Busy
    }
}
