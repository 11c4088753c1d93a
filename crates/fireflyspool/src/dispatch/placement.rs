//! Choice of backend servers and of the work they receive.

use std::time;

use crate::dispatch::{attempt, backlog, fleet, place, queue_key, target, upkeep, waiting};
use crate::{backend, dispatch, ids, outcome, view};

/// Time before the end of the lease at which every attempt ends.
///
/// Another VM may own the backend server once the lease has run out. Attempts
/// that the server stops before then cannot add to those of the new owner; the
/// margin covers the way to the server.
const HANDOVER_MARGIN: time::Duration = time::Duration::from_millis(20);

impl dispatch::Dispatcher {
    /// Offers free permits to a sub-request that has just been queued.
    pub(super) fn place(
        &mut self,
        target: target::TargetKey,
        key: waiting::SubKey,
        view: &view::View,
        now: time::Instant,
    ) {
        let mut tried = Vec::new();
        while let Some(place::Place::Waiting(position)) = self.places.get(key) {
            let Some(server) = self.preferred(target, position, &tried, now) else {
                return;
            };
            self.fill(server, view, now);
            tried.push(server);
        }
    }

    /// Best backend server with a free permit for a waiting sub-request.
    fn preferred(
        &self,
        target: target::TargetKey,
        position: backlog::Position,
        tried: &[fleet::ServerKey],
        now: time::Instant,
    ) -> Option<fleet::ServerKey> {
        let group = self.backlog.group(target)?;
        let entry = self.backlog.entry(position)?;
        // Slow start needs answers to end, so work that is not pressing goes to cold servers
        // first; their limit and pauses bound how much of it that is.
        let gentle = !entry.request.hedge && entry.request.kind != outcome::Kind::Urgent;
        let mut best = None;
        for key in &group.servers {
            let Some(server) = self.fleet.get(*key) else {
                continue;
            };
            let usable = server.free_permits(now) > 0
                && !tried.contains(key)
                && !entry.excludes(&server.core().name);
            if usable {
                let use_share = server.core().busy() * 1_000 / server.permits().max(1);
                let tie = (*key as u64 ^ self.entropy).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                let rank = (server.is_warming() != gentle, use_share, tie);
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
            let Some((position, reason)) = self.pick(key, now) else {
                return;
            };
            if !self.send(key, position, reason, view, now) {
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

    /// Sub-request that the next permit of a backend server goes to.
    fn pick(
        &mut self,
        key: fleet::ServerKey,
        now: time::Instant,
    ) -> Option<(backlog::Position, dispatch::PlacementReason)> {
        let core = self.fleet.get(key)?.core();
        let mut heads: [Option<queue_key::QueueKey>; outcome::Kind::ALL.len()] =
            [None; outcome::Kind::ALL.len()];
        for target in &core.targets {
            let Some(group) = self.backlog.group(*target) else {
                continue;
            };
            for (head, queue) in heads.iter_mut().zip(&group.queues) {
                let fits = |key: &&queue_key::QueueKey| {
                    let entry = self.backlog.entry(key.position);
                    entry.is_some_and(|entry| {
                        !entry.excludes(&core.name) && !self.is_held_back(entry, now)
                    })
                };
                let first = queue.keys().find(fits).copied();
                if first.is_some_and(|first| head.is_none_or(|head| first < head)) {
                    *head = first;
                }
            }
        }
        let ranks = outcome::Kind::ALL.into_iter().zip(heads);
        let ranks = ranks.filter_map(|(kind, head)| Some((head?.behind_hedges, kind)));
        let (_, ahead) = ranks.min()?;
        let waits = heads.map(|head| head.is_some());
        let share = self.low_share;
        let core = self.fleet.get_mut(key)?.core_mut();
        let kind = core.credit.settle(ahead, waits, share);
        let reason = if kind == ahead {
            dispatch::PlacementReason::First
        } else {
            dispatch::PlacementReason::LowShare
        };
        Some((heads[kind.index()]?.position, reason))
    }

    /// Whether a suspect content must wait until its other attempt has ended.
    fn is_held_back(&self, entry: &waiting::Waiting, now: time::Instant) -> bool {
        let fingerprint = entry.request.fingerprint;
        self.suspects.is_suspect(fingerprint, now) && self.attempts.runs(fingerprint)
    }

    /// Whether this VM may send to a backend server at this moment.
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

    /// Sends a waiting sub-request; returns whether it was sent.
    fn send(
        &mut self,
        key: fleet::ServerKey,
        position: backlog::Position,
        reason: dispatch::PlacementReason,
        view: &view::View,
        now: time::Instant,
    ) -> bool {
        if !self.may_send(key, view, now) {
            return false;
        }
        let Some(mut entry) = self.backlog.take(position) else {
            return false;
        };
        if let Some(until) = view.lease_until {
            entry.deadline = entry.deadline.min(until - HANDOVER_MARGIN).max(now);
        }
        let id = self.attempts.draw();
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
            timeout: entry.deadline.duration_since(now) + upkeep::GIVE_UP_MARGIN,
        });
        self.places.insert(entry.key(), place::Place::Running(id));
        let attempt = attempt::Attempt {
            server: key,
            incarnation: core.incarnation,
            sent: now,
            timer: entry.deadline,
            reported: false,
            linked: true,
            entry,
        };
        self.attempts.insert(id, Box::new(attempt));
        true
    }
}

/// Request that states how much time is left.
fn body(entry: &waiting::Waiting, id: ids::AttemptId, now: time::Instant) -> dispatch::Body {
    let left = entry.deadline.duration_since(now).as_millis();
    // Zero would mean a deadline that has passed already.
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
