//! End of a query and its outcome.

use std::time;

use crate::{dispatch, gather, ids, outcome};

/// Retry time for a refused caller if no owner gave one.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

impl gather::Query<gather::Running> {
    /// Ends the query with the answers so far and cancels the attempts under way.
    pub(super) fn conclude(
        mut self,
        context: &mut gather::context::Context<'_>,
        mut batch: gather::batch::Batch,
    ) -> (gather::Coordinator, Vec<gather::Action>) {
        for shard in (0..).take(self.state.shards.len()) {
            self.state.cancel_attempts(shard, context, &mut batch);
        }
        let mut actions = batch.into_actions();
        actions.extend(self.state.warning());
        let outcome = self.state.into_outcome(context.now);
        let finished = gather::Query::finished(&outcome);
        actions.push(gather::Action::Finish(outcome));
        (gather::Coordinator::Finished(finished), actions)
    }

    /// Refuses a query that has sent nothing.
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
    /// Cancels the attempts under way for a shard. A cancelled attempt would have
    /// taken longer than its age. Ages above the hedge delay are recorded as
    /// latencies, because the window would otherwise miss the slowest attempts,
    /// those that lose against a hedge; shorter ages carry no information.
    pub(super) fn cancel_attempts(
        &mut self,
        shard: ids::ShardNumber,
        context: &mut gather::context::Context<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        let attempts = std::mem::take(&mut self.shards[shard as usize].attempts);
        for attempt in attempts {
            let stats = context.budgets.stats(&self.search.service);
            stats.loads.ended(attempt.owner, shard);
            if batch.cancel(attempt.owner, attempt.sub) {
                self.may_have_run = true;
                let age = context.now.saturating_duration_since(attempt.sent);
                if age >= self.hedge_delay {
                    stats.observe(self.search.kind, age, context.now);
                }
            }
        }
    }

    /// Whether the required coverage cannot be met any more and the caller does
    /// not want a partial answer. Further attempts would only add load.
    pub(super) fn coverage_unattainable(&self) -> bool {
        if self.search.partial || self.missing == 0 {
            return false;
        }
        !self.search.coverage.is_met_by(&self.coverage(true))
    }

    /// Warning for the other members, if the content is suspected of crashing servers.
    fn warning(&self) -> Option<gather::Action> {
        let cleared = self.suspicion == gather::suspicion::Suspicion::Cleared;
        let crashed = self.reset_servers.len() >= gather::replies::MAX_RESETS as usize;
        (crashed && !cleared).then(|| gather::Action::Warn {
            fingerprint: self.fingerprint,
            servers: self.reset_servers.clone(),
        })
    }

    fn coverage(&self, count_open: bool) -> outcome::Coverage {
        let mut coverage = outcome::Coverage::default();
        for (shard, progress) in (0..).zip(&self.shards) {
            let covered = match progress.state {
                gather::shard_state::ShardState::Covered(_) => true,
                gather::shard_state::ShardState::Open => count_open,
                gather::shard_state::ShardState::Missing => false,
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
        let hits = shards.filter_map(|progress| match progress.state {
            gather::shard_state::ShardState::Covered(hits) => Some(hits),
            gather::shard_state::ShardState::Open | gather::shard_state::ShardState::Missing => {
                None
            }
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
                _ => Some(self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
            },
            addresses: Vec::new(),
        }
    }

    /// The reason, among the refusals of the owners, that tells the caller most about
    /// what to do: a suspect request before overload, overload before the deadline.
    fn refusal_reason(&self) -> outcome::RefusalReason {
        let any = |cause| self.skip_causes.contains(&cause);
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
