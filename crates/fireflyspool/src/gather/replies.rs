//! Results of attempts.

use std::time;

use crate::{dispatch, gather, ids, outcome};

/// Resets of one shard's attempts after which the content is not sent again. Owners
/// use the same number: they refuse a request under which this many servers crashed.
pub(super) const MAX_RESETS: u32 = 2;

impl gather::Running {
    /// Handles the result of a sub-request; drops it if the sub-request is not
    /// under way at this owner.
    pub(super) fn on_reply(
        &mut self,
        sub: ids::SubRequestId,
        owner: ids::NodeId,
        result: dispatch::SubOutcome,
        context: &mut gather::context::Context<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        let Ok(position) = self.subs.binary_search_by_key(&sub, |entry| entry.0) else {
            return;
        };
        let shard = self.subs[position].1;
        let Some(attempt) = self.shards[shard as usize].take(sub, owner) else {
            return;
        };
        let stats = context.budgets.stats(&self.search.service);
        stats.loads.ended(owner, shard);
        match result {
            dispatch::SubOutcome::Answered { hits, queued, .. } => {
                let latency = context.now.saturating_duration_since(attempt.sent);
                stats.observe(self.search.kind, latency, context.now);
                stats.loads.reported(owner, queued, context.now);
                self.on_answered(shard, sub, hits, context, batch);
            }
            dispatch::SubOutcome::NotRun { cause, retry_after } => {
                self.on_not_run(shard, &attempt, cause, retry_after, context, batch);
            }
            dispatch::SubOutcome::Failed { server, cause } => {
                self.on_failed(shard, &attempt, server, cause, context, batch);
            }
            dispatch::SubOutcome::Submitted { server, .. } => {
                let cause = dispatch::FailureCause::BadReply;
                self.on_failed(shard, &attempt, Some(server), cause, context, batch);
            }
        }
    }

    /// Handles every attempt at an owner that cannot be reached as failed.
    pub(super) fn on_owner_lost(
        &mut self,
        owner: ids::NodeId,
        context: &mut gather::context::Context<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        let mut lost = Vec::new();
        for (shard, progress) in (0..).zip(&mut self.shards) {
            let attempts = progress.attempts.iter();
            let at_owner = attempts.copied().find(|attempt| attempt.owner == owner);
            if let Some(attempt) = at_owner {
                progress.take(attempt.sub, owner);
                lost.push((shard, attempt));
            }
        }
        for (shard, attempt) in lost {
            let loads = &mut context.budgets.stats(&self.search.service).loads;
            loads.ended(owner, shard);
            let cause = dispatch::FailureCause::OwnerLost;
            self.on_failed(shard, &attempt, None, cause, context, batch);
        }
    }

    fn on_answered(
        &mut self,
        shard: ids::ShardNumber,
        sub: ids::SubRequestId,
        mut hits: Vec<outcome::Hit>,
        context: &mut gather::context::Context<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        self.may_have_run = true;
        if hits.len() > self.search.limit as usize {
            // A server that sends more hits than asked for may also send them unordered.
            hits = gather::merge::merge(vec![hits], self.search.limit);
        }
        for hit in &mut hits {
            hit.shard = shard;
        }
        self.cancel_attempts(shard, context, batch);
        self.shards[shard as usize].state = gather::shard_state::ShardState::Covered(hits);
        self.open -= 1;
        if self.suspicion.is_probe(sub) {
            self.suspicion = gather::suspicion::Suspicion::Cleared;
            self.retry_parked(context, batch);
        }
    }

    fn on_not_run(
        &mut self,
        shard: ids::ShardNumber,
        attempt: &gather::attempt::Attempt,
        cause: dispatch::SkipCause,
        retry_after: Option<time::Duration>,
        context: &mut gather::context::Context<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        self.skip_causes.push(cause);
        self.retry_after = self.retry_after.max(retry_after);
        self.avoid_skipped(shard, attempt.owner, cause, retry_after, context);
        let progress = &mut self.shards[shard as usize];
        progress.not_hosted |= cause == dispatch::SkipCause::NotHosted;
        let other_open = !progress.attempts.is_empty();
        if cause == dispatch::SkipCause::Suspect {
            self.confirm_suspicion();
        }
        if other_open {
            return;
        }
        let was_probe = self.suspicion.is_probe(attempt.sub);
        let failed_before = self.shards[shard as usize].failures > 0;
        let probing = matches!(self.suspicion, gather::suspicion::Suspicion::Probing(_));
        if failed_before && probing && !was_probe {
            self.shards[shard as usize].parked = true;
            return;
        }
        let raised = self.suspicion == gather::suspicion::Suspicion::Raised;
        let overloaded = matches!(
            cause,
            dispatch::SkipCause::Deadline
                | dispatch::SkipCause::QueueFull
                | dispatch::SkipCause::Shedding
        );
        let sent = self.may_send(context)
            && self.ensure_candidate(shard, false, context)
            && if overloaded {
                let kind = self.search.kind;
                context.budgets.take_retry(kind, context.view, context.now)
                    && self.send(shard, gather::AttemptReason::Retry, false, context, batch)
            } else {
                context.budgets.count_redirect(context.now);
                self.send(
                    shard,
                    gather::AttemptReason::Redirect,
                    false,
                    context,
                    batch,
                )
            };
        if sent && (was_probe || failed_before && raised) {
            self.set_probe(shard);
        } else if !sent {
            self.not_hosted |= self.shards[shard as usize].not_hosted;
            self.give_up(shard);
            if was_probe {
                // The probe did not run, so another shard's attempt can become the probe.
                self.suspicion = gather::suspicion::Suspicion::Raised;
                self.retry_parked(context, batch);
            }
        }
    }

    fn on_failed(
        &mut self,
        shard: ids::ShardNumber,
        attempt: &gather::attempt::Attempt,
        server: Option<ids::ServerName>,
        cause: dispatch::FailureCause,
        context: &mut gather::context::Context<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        self.may_have_run = true;
        self.avoid_failed(shard, attempt.owner, cause, context);
        let progress = &mut self.shards[shard as usize];
        progress.failures += 1;
        progress.server_named = server.is_some();
        let reset = cause == dispatch::FailureCause::Reset;
        if reset {
            self.reset_servers.extend(server.clone());
        }
        progress.excluded.extend(server);
        progress.resets += u32::from(reset);
        // Two resets under one shard confirm the suspicion even if another shard's
        // attempt was answered.
        if self.suspicion.is_probe(attempt.sub) || reset && progress.resets >= MAX_RESETS {
            self.confirm_suspicion();
        }
        if reset && self.suspicion == gather::suspicion::Suspicion::None {
            self.suspicion = gather::suspicion::Suspicion::Raised;
        }
        let raised = self.suspicion == gather::suspicion::Suspicion::Raised;
        if let Some(other) = self.shards[shard as usize].attempts.first() {
            if raised && reset {
                self.suspicion = gather::suspicion::Suspicion::Probing(other.sub);
            }
            return;
        }
        if matches!(self.suspicion, gather::suspicion::Suspicion::Probing(_)) {
            self.shards[shard as usize].parked = true;
        } else if !self.retry(shard, context, batch) {
            self.give_up(shard);
        } else if raised {
            self.set_probe(shard);
        }
    }
}
