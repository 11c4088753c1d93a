//! A submission with an open claim.

use std::time;

use crate::{dispatch, gather, ids, outcome, plan};

/// Most owners that are tried, one after the other, while each states that the
/// submission did not run.
const MAX_OWNERS: usize = 3;

/// State of a submission that was sent to one owner.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Owners that were tried; the last one has the submission now.
    tried: Vec<ids::NodeId>,
    /// Sub-request at the last owner.
    sub: ids::SubRequestId,
}

impl Sent {
    pub(super) fn new() -> Self {
        Self {
            tried: Vec::new(),
            sub: 0,
        }
    }
}

impl gather::Submission<Sent> {
    pub(super) fn handle(
        self,
        event: gather::SubmissionEvent,
        context: &mut gather::context::Context<'_>,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        let (sub, current) = (self.state.sub, self.state.tried.last().copied());
        match event {
            gather::SubmissionEvent::Replied {
                sub: ended,
                owner,
                outcome,
            } if ended == sub && Some(owner) == current => self.on_reply(owner, outcome, context),
            gather::SubmissionEvent::OwnerLost { owner } if Some(owner) == current => {
                self.finish_unknown(owner, "the owner was lost", context)
            }
            gather::SubmissionEvent::Timer if context.now >= self.ends_at() => match current {
                Some(owner) => self.finish_unknown(owner, "the deadline passed", context),
                None => (gather::SubmissionCoordinator::Sent(self), Vec::new()),
            },
            // The submission may have run, so it goes on without its caller until its
            // result is recorded.
            _ => (gather::SubmissionCoordinator::Sent(self), Vec::new()),
        }
    }

    fn on_reply(
        self,
        owner: ids::NodeId,
        result: dispatch::SubOutcome,
        context: &mut gather::context::Context<'_>,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        match result {
            dispatch::SubOutcome::Submitted { receipt, .. } => {
                self.release_load(owner, context);
                let request = self.submit.request.clone();
                let record = self.record(gather::ClaimEnd::Ran(receipt.clone()));
                let submitted = outcome::Outcome::Submitted { request, receipt };
                let finish = gather::SubmissionAction::Finish(submitted);
                (self.closed(gather::Closed::done()), vec![record, finish])
            }
            dispatch::SubOutcome::NotRun { cause, retry_after } => {
                self.release_load(owner, context);
                self.send_or_refuse(refusal_reason(cause), retry_after, context)
            }
            dispatch::SubOutcome::Failed { .. } | dispatch::SubOutcome::Answered { .. } => {
                self.finish_unknown(owner, "the attempt failed after it was sent", context)
            }
        }
    }

    /// Sends the submission to the next owner, or records it as not run and refuses
    /// it. Must only be called while it has not run.
    pub(super) fn send_or_refuse(
        mut self,
        reason: outcome::RefusalReason,
        retry_after: Option<time::Duration>,
        context: &mut gather::context::Context<'_>,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        let in_time = context.now < self.ends_at();
        let allowed = in_time
            && reason != outcome::RefusalReason::Suspect
            && self.state.tried.len() < MAX_OWNERS
            && context.view.may_act(context.now);
        let next = allowed.then(|| self.choose(context)).flatten();
        let Some(owner) = next else {
            let reason = if in_time {
                reason
            } else {
                outcome::RefusalReason::Deadline
            };
            let record = self.record(gather::ClaimEnd::NotRun);
            let finish = self.refusal(reason, "no owner ran it", retry_after);
            return (self.closed(gather::Closed::done()), vec![record, finish]);
        };
        let sub = self.send(owner, context);
        let dispatch = gather::SubmissionAction::Dispatch { owner, sub };
        (gather::SubmissionCoordinator::Sent(self), vec![dispatch])
    }

    fn choose(&self, context: &mut gather::context::Context<'_>) -> Option<ids::NodeId> {
        let mut candidates: Vec<plan::Candidate> = Vec::new();
        for record in context.view.servers.values() {
            let owner = record.owner.filter(|owner| {
                context.view.members.contains_key(owner) && !self.state.tried.contains(owner)
            });
            let (Some(owner), true) = (owner, context.view.is_eligible(record)) else {
                continue;
            };
            if record.announcement.service != self.submit.service {
                continue;
            }
            let slots = context.view.slots(record);
            match candidates.iter_mut().find(|known| known.owner == owner) {
                Some(known) => {
                    known.replicas += 1;
                    known.slots = known.slots.saturating_add(slots);
                }
                None => candidates.push(plan::Candidate {
                    owner,
                    replicas: 1,
                    slots,
                }),
            }
        }
        let draw = context.entropy.next_u64();
        let loads = &context.budgets.stats(&self.submit.service).loads;
        loads.choose(candidates.into_iter(), SUBMISSION_SHARD, context.now, draw)
    }

    fn send(
        &mut self,
        owner: ids::NodeId,
        context: &mut gather::context::Context<'_>,
    ) -> dispatch::SubRequest {
        let sub = context.budgets.next_sub();
        if self.state.tried.is_empty() {
            context
                .budgets
                .count_first_attempts(1, context.view, context.now);
        } else {
            context.budgets.count_redirect(context.now);
        }
        let loads = &mut context.budgets.stats(&self.submit.service).loads;
        loads.sent(owner, SUBMISSION_SHARD);
        self.state.tried.push(owner);
        self.state.sub = sub;
        dispatch::SubRequest {
            sub,
            coordinator: context.view.node,
            incarnation: context.budgets.incarnation(),
            request: self.submit.request.clone(),
            fingerprint: gather::fingerprint(&self.submit.service, &self.submit.payload),
            service: self.submit.service.clone(),
            kind: self.submit.kind,
            hedge: false,
            remaining: self.ends_at().saturating_duration_since(context.now),
            excluded: Vec::new(),
            work: dispatch::Work::Submit {
                payload: self.submit.payload.clone(),
            },
        }
    }

    fn finish_unknown(
        self,
        owner: ids::NodeId,
        detail: &str,
        context: &mut gather::context::Context<'_>,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        self.release_load(owner, context);
        let finish = self.unknown(detail);
        let closed = gather::Closed::sub_pending(self.state.sub, owner);
        (self.closed(closed), vec![finish])
    }

    fn release_load(&self, owner: ids::NodeId, context: &mut gather::context::Context<'_>) {
        let loads = &mut context.budgets.stats(&self.submit.service).loads;
        loads.ended(owner, SUBMISSION_SHARD);
    }
}

/// Shard number for the load of submissions, which name no shard; no shard map has it.
const SUBMISSION_SHARD: ids::ShardNumber = ids::ShardNumber::MAX;

fn refusal_reason(cause: dispatch::SkipCause) -> outcome::RefusalReason {
    match cause {
        dispatch::SkipCause::Suspect => outcome::RefusalReason::Suspect,
        dispatch::SkipCause::Deadline => outcome::RefusalReason::Deadline,
        dispatch::SkipCause::QueueFull | dispatch::SkipCause::Shedding => {
            outcome::RefusalReason::Overloaded
        }
        dispatch::SkipCause::NoServer
        | dispatch::SkipCause::NoLease
        | dispatch::SkipCause::Cancelled
        | dispatch::SkipCause::NotHosted => outcome::RefusalReason::Unavailable,
    }
}
