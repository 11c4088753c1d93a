//! Choice of owners and sending of attempts.

use std::{sync, time};

use crate::{dispatch, gather, ids, outcome, plan, view};

/// Shortest time between two collections of routes by one query, because each
/// visits every backend server.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(100);

impl gather::Running {
    /// Opens every shard and sends its first attempt.
    pub(super) fn send_first_attempts(
        &mut self,
        reason: gather::AttemptReason,
        context: &mut gather::context::Context<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        let total = self.plan.routes.total();
        self.shards = vec![gather::shard_progress::ShardProgress::new(); total];
        self.subs = Vec::with_capacity(total + total / 8);
        self.open = total;
        self.missing = 0;
        let mut firsts = 0;
        for shard in (0..).take(total) {
            if self.send(shard, reason, false, context, batch) {
                firsts += 1;
            } else {
                self.give_up(shard);
            }
        }
        context
            .budgets
            .count_first_attempts(firsts, context.view, context.now);
    }

    /// Sends hedges for the shards whose attempt is slow, within the budget.
    pub(super) fn send_hedges(
        &mut self,
        context: &mut gather::context::Context<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        let kind = self.search.kind;
        let may_hedge = kind != outcome::Kind::Deferrable
            && self.suspicion.allows_copies()
            && self.may_send(context);
        for shard in (0..).take(self.shards.len()) {
            let progress = &mut self.shards[shard as usize];
            let due = progress.hedge_at.is_some_and(|at| at <= context.now);
            if !due || progress.attempts.len() != 1 {
                continue;
            }
            // A hedge that the budget refuses now may be allowed later.
            progress.hedge_at = Some(context.now + self.hedge_delay);
            let sent = may_hedge
                && self.has_candidate(shard, false, context)
                && context.budgets.take_hedge(kind, context.view, context.now)
                && self.send(shard, gather::AttemptReason::Hedge, false, context, batch);
            if sent {
                self.shards[shard as usize].hedge_at = None;
            }
        }
    }

    /// Whether an untried candidate is left for this shard.
    ///
    /// See [`Self::send`] for `same_owner`.
    pub(super) fn has_candidate(
        &self,
        shard: ids::ShardNumber,
        same_owner: bool,
        context: &gather::context::Context<'_>,
    ) -> bool {
        let candidates = self.plan.routes.candidates(shard).iter();
        let tried = &self.shards[shard as usize].tried;
        candidates
            .copied()
            .any(|candidate| is_usable(candidate, tried, same_owner, context.view))
    }

    /// Like [`Self::has_candidate`], but collects the routes again if none is left:
    /// an owner that refused may have handed its servers over since the query was
    /// planned.
    pub(super) fn ensure_candidate(
        &mut self,
        shard: ids::ShardNumber,
        same_owner: bool,
        context: &gather::context::Context<'_>,
    ) -> bool {
        if self.has_candidate(shard, same_owner, context) {
            return true;
        }
        let recent = |at| context.now.saturating_duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed_at.is_some_and(recent) {
            return false;
        }
        self.refreshed_at = Some(context.now);
        let version = self.plan.snapshot.version;
        let search = &self.search;
        let collected = plan::Routes::collect(context.view, &search.service, &search.collection);
        let same = |routes: &sync::Arc<plan::Routes>| {
            routes.version() == version && routes.total() == self.plan.routes.total()
        };
        if let Some(routes) = collected.into_iter().find(same) {
            self.plan.routes = routes;
        }
        self.has_candidate(shard, same_owner, context)
    }

    /// Sends one attempt to the best candidate; false if there is none.
    ///
    /// With `same_owner` an owner that was tried may be tried again if it has
    /// more replicas than attempts; it must not use the servers that failed.
    pub(super) fn send(
        &mut self,
        shard: ids::ShardNumber,
        reason: gather::AttemptReason,
        same_owner: bool,
        context: &mut gather::context::Context<'_>,
        batch: &mut gather::batch::Batch,
    ) -> bool {
        let (view, now) = (context.view, context.now);
        let draw = context.entropy.next_u64();
        let candidates = self.plan.routes.candidates(shard);
        let progress = &mut self.shards[shard as usize];
        let usable = candidates
            .iter()
            .copied()
            .filter(|candidate| is_usable(*candidate, &progress.tried, same_owner, view));
        let loads = &mut context.budgets.stats(&self.search.service).loads;
        let Some(owner) = loads.choose(usable, shard, now, draw) else {
            return false;
        };
        let decision = gather::Decision {
            request: self.search.request.clone(),
            snapshot: self.plan.snapshot.clone(),
            shard,
            owner,
            reason,
            passed_over: candidates
                .iter()
                .filter(|candidate| candidate.owner != owner)
                .map(|candidate| gather::PassedOver {
                    owner: candidate.owner,
                    cause: pass_cause(*candidate, &progress.tried, shard, loads, view, now),
                })
                .collect(),
        };
        loads.sent(owner, shard);
        let sub = context.budgets.next_sub();
        let hedge = reason == gather::AttemptReason::Hedge;
        progress.tried.push(owner);
        progress.hedged |= hedge;
        progress.hedge_at = (!progress.hedged).then(|| now + self.hedge_delay);
        progress.attempts.push(gather::attempt::Attempt {
            sub,
            owner,
            sent: now,
        });
        let request = dispatch::SubRequest {
            sub,
            coordinator: view.node,
            incarnation: context.budgets.incarnation(),
            request: self.search.request.clone(),
            fingerprint: self.fingerprint,
            service: self.search.service.clone(),
            kind: self.search.kind,
            hedge,
            remaining: self.ends_at.saturating_duration_since(now),
            excluded: progress.excluded.clone(),
            work: dispatch::Work::Search {
                snapshot: self.plan.snapshot.clone(),
                shard,
                text: self.search.text.clone(),
                limit: self.search.limit,
            },
        };
        self.subs.push((sub, shard));
        batch.dispatch(owner, request, decision);
        true
    }

    /// Marks a shard as missing, unless it was answered.
    pub(super) fn give_up(&mut self, shard: ids::ShardNumber) {
        let progress = &mut self.shards[shard as usize];
        if progress.is_open() {
            progress.state = gather::shard_state::ShardState::Missing;
            progress.parked = false;
            self.open -= 1;
            self.missing += 1;
        }
    }
}

fn is_usable(
    candidate: plan::Candidate,
    tried: &[ids::NodeId],
    same_owner: bool,
    view: &view::View,
) -> bool {
    let attempts = tried.iter().filter(|owner| **owner == candidate.owner);
    let allowed = if same_owner { candidate.replicas } else { 1 };
    attempts.count() < allowed as usize && view.members.contains_key(&candidate.owner)
}

fn pass_cause(
    candidate: plan::Candidate,
    tried: &[ids::NodeId],
    shard: ids::ShardNumber,
    loads: &gather::OwnerLoads,
    view: &view::View,
    now: time::Instant,
) -> gather::PassCause {
    if tried.contains(&candidate.owner) {
        gather::PassCause::Tried
    } else if !view.members.contains_key(&candidate.owner) {
        gather::PassCause::Gone
    } else if loads.is_avoided(candidate.owner, shard, now) {
        gather::PassCause::Avoided
    } else {
        gather::PassCause::Load
    }
}
