//! A submission under an open claim.

use std::time;

use crate::{dispatch, gather, ids, outcome, plan};

/// Owners that are tried one after the other while each states that nothing ran.
const MAX_OWNERS: usize = 3;

/// State of a submission that is at one owner.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Owners that were tried; the last one has it now.
    tried: Vec<ids::NodeId>,
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
        scene: &mut gather::scene::Scene<'_>,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        let (sub, at) = (self.state.sub, self.state.tried.last().copied());
        match event {
            gather::SubmissionEvent::Replied {
                sub: ended,
                owner,
                outcome,
            } if ended == sub && Some(owner) == at => self.on_reply(owner, outcome, scene),
            gather::SubmissionEvent::OwnerLost { owner } if Some(owner) == at => {
                self.end_unknown(owner, "the owner was lost", scene)
            }
            gather::SubmissionEvent::Timer if scene.now >= self.ends_at() => match at {
                Some(owner) => self.end_unknown(owner, "the deadline passed", scene),
                None => (gather::SubmissionCoordinator::Sent(self), Vec::new()),
            },
            // It may run already, so it goes on without its caller to get its end recorded.
            _ => (gather::SubmissionCoordinator::Sent(self), Vec::new()),
        }
    }

    fn on_reply(
        self,
        owner: ids::NodeId,
        result: dispatch::SubOutcome,
        scene: &mut gather::scene::Scene<'_>,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        match result {
            dispatch::SubOutcome::Submitted { receipt, .. } => {
                self.uncount(owner, scene);
                let request = self.submit.request.clone();
                let record = self.record(gather::ClaimEnd::Ran(receipt.clone()));
                let submitted = outcome::Outcome::Submitted { request, receipt };
                let finish = gather::SubmissionAction::Finish(submitted);
                (self.closed(gather::Closed::done()), vec![record, finish])
            }
            dispatch::SubOutcome::NotRun { cause, retry_after } => {
                self.uncount(owner, scene);
                self.send_or_refuse(reason_of(cause), retry_after, scene)
            }
            dispatch::SubOutcome::Failed { .. } | dispatch::SubOutcome::Answered { .. } => {
                self.end_unknown(owner, "the attempt failed after it was sent", scene)
            }
        }
    }

    /// Hands it to the next owner, or closes the claim as not run. Nothing of
    /// it ran so far.
    pub(super) fn send_or_refuse(
        mut self,
        reason: outcome::RefusalReason,
        retry_after: Option<time::Duration>,
        scene: &mut gather::scene::Scene<'_>,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        let in_time = scene.now < self.ends_at();
        let allowed = in_time
            && reason != outcome::RefusalReason::Suspect
            && self.state.tried.len() < MAX_OWNERS
            && scene.view.may_act(scene.now);
        let next = allowed.then(|| self.choose(scene)).flatten();
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
        let sub = self.send(owner, scene);
        let dispatch = gather::SubmissionAction::Dispatch { owner, sub };
        (gather::SubmissionCoordinator::Sent(self), vec![dispatch])
    }

    fn choose(&self, scene: &mut gather::scene::Scene<'_>) -> Option<ids::NodeId> {
        let mut candidates: Vec<plan::Candidate> = Vec::new();
        for record in scene.view.servers.values() {
            let owner = record.owner.filter(|owner| {
                scene.view.members.contains_key(owner) && !self.state.tried.contains(owner)
            });
            let (Some(owner), true) = (owner, scene.view.is_eligible(record)) else {
                continue;
            };
            if record.announcement.service != self.submit.service {
                continue;
            }
            let slots = scene.view.slots(record);
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
        let draw = scene.entropy.draw();
        let loads = &scene.budgets.stats(&self.submit.service).loads;
        loads.choose(candidates.into_iter(), SHARD, scene.now, draw)
    }

    fn send(
        &mut self,
        owner: ids::NodeId,
        scene: &mut gather::scene::Scene<'_>,
    ) -> dispatch::SubRequest {
        let sub = scene.budgets.next_sub();
        if self.state.tried.is_empty() {
            scene.budgets.count_first_attempts(1, scene.view, scene.now);
        } else {
            scene.budgets.count_redirect(scene.now);
        }
        let loads = &mut scene.budgets.stats(&self.submit.service).loads;
        loads.sent(owner, SHARD);
        self.state.tried.push(owner);
        self.state.sub = sub;
        dispatch::SubRequest {
            sub,
            coordinator: scene.view.node,
            incarnation: scene.budgets.incarnation(),
            request: self.submit.request.clone(),
            fingerprint: gather::fingerprint(&self.submit.service, &self.submit.payload),
            service: self.submit.service.clone(),
            kind: self.submit.kind,
            hedge: false,
            remaining: self.ends_at().saturating_duration_since(scene.now),
            excluded: Vec::new(),
            work: dispatch::Work::Submit {
                payload: self.submit.payload.clone(),
            },
        }
    }

    fn end_unknown(
        self,
        owner: ids::NodeId,
        detail: &str,
        scene: &mut gather::scene::Scene<'_>,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        self.uncount(owner, scene);
        let finish = self.unknown(detail);
        let pending = gather::Closed::pending(self.state.sub, owner);
        (self.closed(pending), vec![finish])
    }

    fn uncount(&self, owner: ids::NodeId, scene: &mut gather::scene::Scene<'_>) {
        let loads = &mut scene.budgets.stats(&self.submit.service).loads;
        loads.ended(owner, SHARD);
    }
}

/// Submissions name no shard; their loads are counted under a number that no shard map has.
const SHARD: ids::ShardNumber = ids::ShardNumber::MAX;

fn reason_of(cause: dispatch::SkipCause) -> outcome::RefusalReason {
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
