//! Ends of attempts and what follows from them.

use std::time;

use crate::{dispatch, gather, ids, outcome};

/// Resets of one shard's attempts after which the content is not sent again; owners
/// refuse a request under which this many servers crashed.
pub(super) const MAX_RESETS: u32 = 2;

impl gather::Running {
    /// Takes the end of a sub-request; anything that is not under way at this
    /// owner is dropped.
    pub(super) fn on_reply(
        &mut self,
        sub: ids::SubRequestId,
        owner: ids::NodeId,
        result: dispatch::SubOutcome,
        scene: &mut gather::scene::Scene<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        let Ok(position) = self.subs.binary_search_by_key(&sub, |entry| entry.0) else {
            return;
        };
        let shard = self.subs[position].1;
        let Some(attempt) = self.shards[shard as usize].take(sub, owner) else {
            return;
        };
        let stats = scene.budgets.stats(&self.search.service);
        stats.loads.ended(owner, shard);
        match result {
            dispatch::SubOutcome::Answered { hits, queued, .. } => {
                let latency = scene.now.saturating_duration_since(attempt.sent);
                stats.observe(self.search.kind, latency, scene.now);
                stats.loads.reported(owner, queued, scene.now);
                self.on_answered(shard, sub, hits, scene, batch);
            }
            dispatch::SubOutcome::NotRun { cause, retry_after } => {
                self.on_not_run(shard, &attempt, cause, retry_after, scene, batch);
            }
            dispatch::SubOutcome::Failed { server, cause } => {
                self.on_failed(shard, &attempt, server, cause, scene, batch);
            }
            dispatch::SubOutcome::Submitted { server, .. } => {
                let cause = dispatch::FailureCause::BadReply;
                self.on_failed(shard, &attempt, Some(server), cause, scene, batch);
            }
        }
    }

    /// Ends every attempt at an owner that cannot be reached.
    pub(super) fn on_owner_lost(
        &mut self,
        owner: ids::NodeId,
        scene: &mut gather::scene::Scene<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        let mut lost = Vec::new();
        for (shard, progress) in (0..).zip(&mut self.shards) {
            let attempts = progress.attempts.iter();
            let here = attempts.copied().find(|attempt| attempt.owner == owner);
            if let Some(attempt) = here {
                progress.take(attempt.sub, owner);
                lost.push((shard, attempt));
            }
        }
        for (shard, attempt) in lost {
            let loads = &mut scene.budgets.stats(&self.search.service).loads;
            loads.ended(owner, shard);
            let cause = dispatch::FailureCause::OwnerLost;
            self.on_failed(shard, &attempt, None, cause, scene, batch);
        }
    }

    fn on_answered(
        &mut self,
        shard: ids::ShardNumber,
        sub: ids::SubRequestId,
        mut hits: Vec<outcome::Hit>,
        scene: &mut gather::scene::Scene<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        self.may_have_run = true;
        if hits.len() > self.search.limit as usize {
            // The order of a server that sends too many is not relied on.
            hits = gather::merge::merge(vec![hits], self.search.limit);
        }
        for hit in &mut hits {
            hit.shard = shard;
        }
        self.cancel_attempts(shard, scene, batch);
        self.shards[shard as usize].stage = gather::stage::Stage::Covered(hits);
        self.open -= 1;
        if self.suspicion.is_probe(sub) {
            self.suspicion = gather::suspicion::Suspicion::Cleared;
            self.release_parked(scene, batch);
        }
    }

    fn on_not_run(
        &mut self,
        shard: ids::ShardNumber,
        attempt: &gather::attempt::Attempt,
        cause: dispatch::SkipCause,
        retry_after: Option<time::Duration>,
        scene: &mut gather::scene::Scene<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        self.skips.push(cause);
        self.retry_after = self.retry_after.max(retry_after);
        self.avoid_skipped(shard, attempt.owner, cause, retry_after, scene);
        let progress = &mut self.shards[shard as usize];
        progress.unhosted |= cause == dispatch::SkipCause::NotHosted;
        let twin = !progress.attempts.is_empty();
        if cause == dispatch::SkipCause::Suspect {
            self.confirm_suspicion();
        }
        if twin {
            return;
        }
        let probing = self.suspicion.is_probe(attempt.sub);
        let repeated = self.shards[shard as usize].failures > 0;
        let probe_elsewhere = matches!(self.suspicion, gather::suspicion::Suspicion::Probing(_));
        if repeated && probe_elsewhere && !probing {
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
        let sent = self.may_send(scene)
            && self.find_candidate(shard, false, scene)
            && if overloaded {
                let kind = self.search.kind;
                scene.budgets.take_retry(kind, scene.view, scene.now)
                    && self.send(shard, gather::AttemptReason::Retry, false, scene, batch)
            } else {
                scene.budgets.count_redirect(scene.now);
                self.send(shard, gather::AttemptReason::Redirect, false, scene, batch)
            };
        if sent && (probing || repeated && raised) {
            self.set_probe(shard);
        } else if !sent {
            self.unhosted |= self.shards[shard as usize].unhosted;
            self.give_up(shard);
            if probing {
                // The probe did not run, so another shard can still be the probe.
                self.suspicion = gather::suspicion::Suspicion::Raised;
                self.release_parked(scene, batch);
            }
        }
    }

    fn on_failed(
        &mut self,
        shard: ids::ShardNumber,
        attempt: &gather::attempt::Attempt,
        server: Option<ids::ServerName>,
        cause: dispatch::FailureCause,
        scene: &mut gather::scene::Scene<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        self.may_have_run = true;
        self.avoid_failed(shard, attempt.owner, cause, scene);
        let progress = &mut self.shards[shard as usize];
        progress.failures += 1;
        progress.named = server.is_some();
        let reset = cause == dispatch::FailureCause::Reset;
        if reset {
            self.resets.extend(server.clone());
        }
        progress.excluded.extend(server);
        progress.resets += u32::from(reset);
        // Two servers that reset under one shard are no coincidence, even if
        // another shard's attempt was answered.
        if self.suspicion.is_probe(attempt.sub) || reset && progress.resets >= MAX_RESETS {
            self.confirm_suspicion();
        }
        if reset && self.suspicion == gather::suspicion::Suspicion::None {
            self.suspicion = gather::suspicion::Suspicion::Raised;
        }
        let raised = self.suspicion == gather::suspicion::Suspicion::Raised;
        if let Some(twin) = self.shards[shard as usize].attempts.first() {
            if raised && reset {
                self.suspicion = gather::suspicion::Suspicion::Probing(twin.sub);
            }
            return;
        }
        if matches!(self.suspicion, gather::suspicion::Suspicion::Probing(_)) {
            self.shards[shard as usize].parked = true;
        } else if !self.retry(shard, scene, batch) {
            self.give_up(shard);
        } else if raised {
            self.set_probe(shard);
        }
    }
}
