//! Whether waiting sub-requests can still run, and the log record of placement decisions.

use std::time;

use crate::dispatch::{backlog, fleet, pending_sub, server, target};
use crate::{dispatch, ids, sorted, view};

/// Backoffs up to this long are waited out; a coordinator reaches no other replica faster.
const TOLERATED_BACKOFF: time::Duration = time::Duration::from_millis(20);

/// Most passed-over servers in one decision; submissions could list hundreds.
const MAX_PASSED_OVER: usize = 8;

impl dispatch::Dispatcher {
    /// Why no server can run a sub-request in time; `None` if one may, so that it can wait.
    ///
    /// The duration is the time until the first blocked server returns.
    pub(super) fn unservable_cause(
        &self,
        entry: &pending_sub::PendingSub,
        now: time::Instant,
    ) -> Option<(dispatch::SkipCause, Option<time::Duration>)> {
        let servers = self.backlog.group(entry.target).map(|group| &group.servers);
        let mut earliest: Option<time::Instant> = None;
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
            earliest = Some(earliest.map_or(until, |earliest| earliest.min(until)));
            shedding |= core.is_backing_off(now);
        }
        let Some(earliest) = earliest else {
            return Some((entry.refusal.unwrap_or(dispatch::SkipCause::NoServer), None));
        };
        let delay = earliest.duration_since(now);
        if delay <= TOLERATED_BACKOFF && earliest < entry.deadline {
            return None;
        }
        let cause = if shedding {
            dispatch::SkipCause::Shedding
        } else {
            dispatch::SkipCause::NoServer
        };
        Some((cause, Some(delay)))
    }

    /// Ends sub-requests that wait for a target and that no server can run.
    pub(super) fn reassess_target(&mut self, target: target::TargetKey, now: time::Instant) {
        let queues = self.backlog.group(target).map(|group| &group.queues);
        let keys = queues
            .into_iter()
            .flatten()
            .flat_map(sorted::SortedMap::keys);
        let indices = keys.map(|key| key.index).collect::<Vec<_>>();
        self.skip_unservable(indices, now);
    }

    fn skip_unservable(&mut self, indices: Vec<backlog::EntryIndex>, now: time::Instant) {
        for index in indices {
            let entry = self.backlog.entry(index);
            let unservable = entry.and_then(|entry| self.unservable_cause(entry, now));
            if let Some((cause, retry_after)) = unservable {
                self.skip_queued(index, cause, retry_after, now);
            }
        }
    }

    /// Ends all waiting sub-requests that no server can run or that are refused as suspects.
    pub(super) fn reassess_all(&mut self, view: &view::View, now: time::Instant) {
        if self.backlog.is_empty() {
            return;
        }
        if !view.may_act(now) {
            for index in self.backlog.matching(|_| true) {
                self.skip_queued(index, dispatch::SkipCause::NoLease, None, now);
            }
        }
        let indices = self.backlog.matching(|_| true);
        self.skip_unservable(indices, now);
        self.refuse_suspects(now);
    }

    /// Ends waiting sub-requests whose fingerprint has crashed too many servers.
    pub(super) fn refuse_suspects(&mut self, now: time::Instant) {
        if !self.suspects.has_any() {
            return;
        }
        let suspects = &self.suspects;
        let refused = self
            .backlog
            .matching(|entry| suspects.is_refused(entry.request.fingerprint, now));
        for index in refused {
            self.skip_queued(index, dispatch::SkipCause::Suspect, None, now);
        }
    }

    /// Log record of a decision; `chosen` is `None` if the sub-request was not placed.
    pub(super) fn decision(
        &self,
        entry: &pending_sub::PendingSub,
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
        let passed = others.take(MAX_PASSED_OVER).filter_map(|key| {
            let server = self.fleet.get(*key)?;
            Some((server.core().name.clone(), pass_cause(server, entry, now)))
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
fn pass_cause(
    server: &server::Server,
    entry: &pending_sub::PendingSub,
    now: time::Instant,
) -> dispatch::PassCause {
    let core = server.core();
    if server.is_leaving() {
        dispatch::PassCause::Leaving
    } else if !core.eligible {
        dispatch::PassCause::NotEligible
    } else if entry.excludes(&core.name) {
        dispatch::PassCause::Excluded
    } else if core.is_backing_off(now) {
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
