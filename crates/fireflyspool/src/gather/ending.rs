//! The end of a query and what the caller is told.

use std::time;

use crate::{dispatch, gather, ids, outcome};

/// Time after which a refused caller may find another state, if no owner named one.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

impl gather::Query<gather::Running> {
    /// Ends with what is known now; attempts under way are cancelled.
    pub(super) fn conclude(
        mut self,
        scene: &mut gather::scene::Scene<'_>,
        mut batch: gather::batch::Batch,
    ) -> (gather::Coordinator, Vec<gather::Action>) {
        for shard in (0..).take(self.state.shards.len()) {
            self.state.cancel_attempts(shard, scene, &mut batch);
        }
        let mut actions = batch.into_actions();
        actions.extend(self.state.warning());
        let outcome = self.state.into_outcome(scene.now);
        let finished = gather::Query::finished(&outcome);
        actions.push(gather::Action::Finish(outcome));
        (gather::Coordinator::Finished(finished), actions)
    }

    /// Ends a query that has sent nothing.
    pub(super) fn refuse(
        self,
        reason: outcome::RefusalReason,
    ) -> (gather::Coordinator, Vec<gather::Action>) {
        let detail = "nothing was sent".to_owned();
        let outcome = outcome::Outcome::NotRun(self.state.refusal(reason, detail));
        let finished = gather::Query::finished(&outcome);
        let finish = vec![gather::Action::Finish(outcome)];
        (gather::Coordinator::Finished(finished), finish)
    }
}

impl gather::Running {
    /// Cancels what is under way for a shard. A cancelled attempt would have
    /// taken longer than its age. Ages above the hedge delay are observed,
    /// because the window would otherwise miss the slowest attempts, which are
    /// the ones that hedges beat; shorter ages say nothing.
    pub(super) fn cancel_attempts(
        &mut self,
        shard: ids::ShardNumber,
        scene: &mut gather::scene::Scene<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        let attempts = std::mem::take(&mut self.shards[shard as usize].attempts);
        for attempt in attempts {
            let stats = scene.budgets.stats(&self.search.service);
            stats.loads.ended(attempt.owner, shard);
            if batch.cancel(attempt.owner, attempt.sub) {
                self.may_have_run = true;
                let age = scene.now.saturating_duration_since(attempt.sent);
                if age >= self.hedge_delay {
                    stats.observe(self.search.kind, age, scene.now);
                }
            }
        }
    }

    /// Whether the required coverage cannot be met any more and the caller
    /// does not want a partial answer; going on would be load without use.
    pub(super) fn is_hopeless(&self) -> bool {
        if self.search.partial || self.missing == 0 {
            return false;
        }
        !self.search.coverage.is_met_by(&self.coverage(true))
    }

    /// Warning for the other members, if the content seems to crash what runs it.
    fn warning(&self) -> Option<gather::Action> {
        let cleared = self.suspicion == gather::suspicion::Suspicion::Cleared;
        let crashed = self.resets.len() >= gather::replies::MAX_RESETS as usize;
        (crashed && !cleared).then(|| gather::Action::Warn {
            fingerprint: self.fingerprint,
            servers: self.resets.clone(),
        })
    }

    fn coverage(&self, count_open: bool) -> outcome::Coverage {
        let mut coverage = outcome::Coverage::default();
        for (shard, progress) in (0..).zip(&self.shards) {
            let covered = match progress.stage {
                gather::stage::Stage::Covered(_) => true,
                gather::stage::Stage::Open => count_open,
                gather::stage::Stage::Missing => false,
            };
            if covered {
                coverage.covered.push(shard);
            } else {
                coverage.missing.push(shard);
            }
        }
        coverage
    }

    fn into_outcome(mut self, now: time::Instant) -> outcome::Outcome {
        let coverage = self.coverage(false);
        if !self.may_have_run && !coverage.is_complete() {
            let missing = coverage.missing.len();
            let detail = format!("{missing} of {} shards refused", coverage.total());
            let reason = self.refusal_reason();
            return outcome::Outcome::NotRun(self.refusal(reason, detail));
        }
        let shards = self.shards.drain(..);
        let hits = shards.filter_map(|progress| match progress.stage {
            gather::stage::Stage::Covered(hits) => Some(hits),
            gather::stage::Stage::Open | gather::stage::Stage::Missing => None,
        });
        let hits = gather::merge::merge(hits.collect(), self.search.limit);
        let complete = coverage.is_complete();
        let sufficient = self.search.coverage.is_met_by(&coverage) && !coverage.covered.is_empty();
        let answer = outcome::Answer {
            request: self.search.request,
            snapshot: self.plan.snapshot,
            coverage,
            sufficient,
            deadline: self.search.deadline,
            elapsed: now.saturating_duration_since(self.received),
            hits,
        };
        if complete {
            outcome::Outcome::Complete(answer)
        } else {
            outcome::Outcome::Partial(answer)
        }
    }

    fn refusal(&self, reason: outcome::RefusalReason, detail: String) -> outcome::Refusal {
        outcome::Refusal {
            request: self.search.request.clone(),
            reason,
            detail,
            snapshot: Some(self.plan.snapshot.clone()),
            deadline: self.search.deadline,
            retry_after: match reason {
                outcome::RefusalReason::Suspect => None,
                _ => Some(self.retry_after.unwrap_or(RETRY_AFTER)),
            },
            addresses: Vec::new(),
        }
    }

    /// The cause that says most about what the caller can do.
    fn refusal_reason(&self) -> outcome::RefusalReason {
        let any = |cause| self.skips.contains(&cause);
        if any(dispatch::SkipCause::Suspect) {
            outcome::RefusalReason::Suspect
        } else if any(dispatch::SkipCause::QueueFull) || any(dispatch::SkipCause::Shedding) {
            outcome::RefusalReason::Overloaded
        } else if any(dispatch::SkipCause::Deadline) {
            outcome::RefusalReason::Deadline
        } else {
            outcome::RefusalReason::Coverage
        }
    }
}
