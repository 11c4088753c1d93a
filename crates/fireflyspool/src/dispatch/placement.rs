//! Choice of backend servers for sub-requests and of sub-requests for free permits.

use std::time;

use crate::dispatch::{
    attempt, backlog, fleet, maintenance, pending_sub, queue_key, sub_state, target,
};
use crate::{backend, dispatch, ids, outcome, view};

/// Minimum time between the deadline of an attempt and the end of the lease.
///
/// Another VM may own the backend server once the lease has expired. Attempts
/// that end before then do not add to those of the new owner. The server counts
/// the deadline from receipt, so the margin covers the network delay.
const HANDOVER_MARGIN: time::Duration = time::Duration::from_millis(20);

impl dispatch::Dispatcher {
    /// Fills the best servers for a queued sub-request until it is sent or none is left.
    pub(super) fn place(
        &mut self,
        target: target::TargetKey,
        key: pending_sub::SubKey,
        view: &view::View,
        now: time::Instant,
    ) {
        let mut tried = Vec::new();
        while let Some(sub_state::SubState::Waiting(index)) = self.subs.get(key) {
            let Some(server) = self.best_server(target, index, &tried, now) else {
                return;
            };
            self.fill(server, view, now);
            tried.push(server);
        }
    }

    /// Best untried backend server with a free permit for a waiting sub-request.
    fn best_server(
        &self,
        target: target::TargetKey,
        index: backlog::EntryIndex,
        tried: &[fleet::ServerKey],
        now: time::Instant,
    ) -> Option<fleet::ServerKey> {
        let group = self.backlog.group(target)?;
        let entry = self.backlog.entry(index)?;
        // Slow start ends by answers only, so first attempts below urgent prefer warming servers.
        // The limit and pauses of slow start bound how many go there.
        let prefers_warming = !entry.request.hedge && entry.request.kind != outcome::Kind::Urgent;
        let mut best = None;
        for key in &group.servers {
            let Some(server) = self.fleet.get(*key) else {
                continue;
            };
            let usable = server.free_permits(now) > 0
                && !tried.contains(key)
                && !entry.excludes(&server.core().name);
            if usable {
                let utilization = server.core().busy() * 1_000 / server.permits().max(1);
                let tie = (*key as u64 ^ self.entropy).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                let rank = (server.is_warming() != prefers_warming, utilization, tie);
                if best.is_none_or(|(least, _)| rank < least) {
                    best = Some((rank, *key));
                }
            }
        }
        best.map(|(_, key)| key)
    }

    /// Gives the free permits of a backend server to waiting sub-requests.
    pub(super) fn fill(&mut self, key: fleet::ServerKey, view: &view::View, now: time::Instant) {
        while !self.backlog.is_empty() {
            let free = self.fleet.get(key).map(|server| server.free_permits(now));
            if free.unwrap_or(0) == 0 {
                return;
            }
            let Some((index, reason)) = self.next_queued(key, now) else {
                return;
            };
            if !self.send(key, index, reason, view, now) {
                return;
            }
        }
    }

    pub(super) fn fill_all(&mut self, view: &view::View, now: time::Instant) {
        if self.backlog.is_empty() {
            return;
        }
        for key in self.fleet.keys() {
            self.fill(key, view, now);
        }
    }

    /// Waiting sub-request that gets the next permit of a backend server.
    fn next_queued(
        &mut self,
        key: fleet::ServerKey,
        now: time::Instant,
    ) -> Option<(backlog::EntryIndex, dispatch::PlacementReason)> {
        let core = self.fleet.get(key)?.core();
        let mut heads: [Option<queue_key::QueueKey>; outcome::Kind::ALL.len()] =
            [None; outcome::Kind::ALL.len()];
        for target in &core.targets {
            let Some(group) = self.backlog.group(*target) else {
                continue;
            };
            for (head, queue) in heads.iter_mut().zip(&group.queues) {
                let eligible = |key: &&queue_key::QueueKey| {
                    let entry = self.backlog.entry(key.index);
                    entry.is_some_and(|entry| {
                        !entry.excludes(&core.name) && !self.is_held_back(entry, now)
                    })
                };
                let first = queue.keys().find(eligible).copied();
                if first.is_some_and(|first| head.is_none_or(|head| first < head)) {
                    *head = first;
                }
            }
        }
        let ranks = outcome::Kind::ALL.into_iter().zip(heads);
        let ranks = ranks.filter_map(|(kind, head)| Some((head?.behind_hedges, kind)));
        let (_, first) = ranks.min()?;
        let waiting = heads.map(|head| head.is_some());
        let share = self.low_share;
        let core = self.fleet.get_mut(key)?.core_mut();
        let kind = core.credit.next_kind(first, waiting, share);
        let reason = if kind == first {
            dispatch::PlacementReason::First
        } else {
            dispatch::PlacementReason::LowShare
        };
        Some((heads[kind.index()]?.index, reason))
    }

    /// Whether a suspect request must wait, because another attempt with its fingerprint runs.
    fn is_held_back(&self, entry: &pending_sub::PendingSub, now: time::Instant) -> bool {
        let fingerprint = entry.request.fingerprint;
        self.suspects.is_suspect(fingerprint, now) && self.attempts.is_running(fingerprint)
    }

    /// Whether lease, ownership, incarnation and eligibility allow sending to a server now.
    pub(super) fn may_send(
        &self,
        key: fleet::ServerKey,
        view: &view::View,
        now: time::Instant,
    ) -> bool {
        let Some(server) = self.fleet.get(key) else {
            return false;
        };
        let record = view.servers.get(&server.core().name);
        view.may_act(now)
            && record.is_some_and(|record| {
                record.owner == Some(self.node)
                    && record.announcement.incarnation == server.core().incarnation
                    && view.is_eligible(record)
            })
    }

    /// Sends a waiting sub-request to a server; returns whether it was sent.
    fn send(
        &mut self,
        key: fleet::ServerKey,
        index: backlog::EntryIndex,
        reason: dispatch::PlacementReason,
        view: &view::View,
        now: time::Instant,
    ) -> bool {
        if !self.may_send(key, view, now) {
            return false;
        }
        let Some(mut entry) = self.backlog.take(index) else {
            return false;
        };
        if let Some(until) = view.lease_until {
            entry.deadline = entry.deadline.min(until - HANDOVER_MARGIN).max(now);
        }
        let id = self.attempts.next_id();
        let decision = self.decision(&entry, Some((key, id)), reason, now);
        self.actions.push(dispatch::Action::Log(decision));
        let Some(server) = self.fleet.get_mut(key) else {
            return false;
        };
        let core = server.core_mut();
        core.attempts.push(id);
        core.connections.acquire();
        self.actions.push(dispatch::Action::Send {
            attempt: id,
            server: core.name.clone(),
            address: core.address,
            body: body(&entry, id, now),
            timeout: entry.deadline.duration_since(now) + maintenance::GIVE_UP_MARGIN,
        });
        self.subs
            .insert(entry.key(), sub_state::SubState::Running(id));
        let attempt = attempt::Attempt {
            server: key,
            incarnation: core.incarnation,
            sent: now,
            timer: entry.deadline,
            reported: false,
            holds_connection: true,
            sub: entry,
        };
        self.attempts.insert(id, Box::new(attempt));
        true
    }
}

/// Request body with the remaining time as its deadline.
fn body(entry: &pending_sub::PendingSub, id: ids::AttemptId, now: time::Instant) -> dispatch::Body {
    let left = entry.deadline.duration_since(now).as_millis();
    // Zero would mean that the deadline has passed.
    let deadline_ms = u64::try_from(left).unwrap_or(u64::MAX).max(1);
    let request = entry.request.request.clone();
    match &entry.request.work {
        dispatch::Work::Search {
            snapshot,
            shard,
            text,
            limit,
        } => dispatch::Body::Search(backend::SearchRequest {
            attempt: id,
            request,
            collection: snapshot.collection.clone(),
            version: snapshot.version,
            shard: *shard,
            text: text.clone(),
            deadline_ms,
            limit: *limit,
        }),
        dispatch::Work::Submit { payload } => dispatch::Body::Submit(backend::SubmitRequest {
            attempt: id,
            request,
            payload: payload.clone(),
            deadline_ms,
        }),
    }
}
