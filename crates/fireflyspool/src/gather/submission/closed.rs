//! A submission whose outcome was reported.

use crate::{dispatch, gather, ids};

/// State of a submission after its end. Late results are still recorded, so that
/// a resend of the request gets a better answer than "unknown".
#[derive(Clone, Debug)]
pub struct Closed {
    /// Whether the answer to the opening of the claim is outstanding.
    claim_pending: bool,
    /// Sub-request without a result, with its owner.
    pending_sub: Option<(ids::SubRequestId, ids::NodeId)>,
}

impl Closed {
    /// Nothing is outstanding.
    pub(super) fn done() -> Self {
        Self {
            claim_pending: false,
            pending_sub: None,
        }
    }

    /// The answer to the opening of the claim is outstanding.
    pub(super) fn claim_pending() -> Self {
        Self {
            claim_pending: true,
            pending_sub: None,
        }
    }

    /// The result of a sub-request is outstanding.
    pub(super) fn sub_pending(sub: ids::SubRequestId, owner: ids::NodeId) -> Self {
        Self {
            claim_pending: false,
            pending_sub: Some((sub, owner)),
        }
    }
}

impl<S> gather::Submission<S> {
    pub(super) fn closed(self, state: Closed) -> gather::SubmissionCoordinator {
        gather::SubmissionCoordinator::Closed(self.with_state(state))
    }
}

impl gather::Submission<Closed> {
    pub(super) fn handle(
        mut self,
        event: gather::SubmissionEvent,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        let end = match event {
            gather::SubmissionEvent::Claimed(answer) if self.state.claim_pending => {
                self.state.claim_pending = false;
                (answer == gather::ClaimAnswer::Opened).then_some(gather::ClaimEnd::NotRun)
            }
            gather::SubmissionEvent::Replied {
                sub,
                owner,
                outcome,
            } if self.state.pending_sub == Some((sub, owner)) => {
                self.state.pending_sub = None;
                match outcome {
                    dispatch::SubOutcome::Submitted { receipt, .. } => {
                        Some(gather::ClaimEnd::Ran(receipt))
                    }
                    dispatch::SubOutcome::NotRun { .. } => Some(gather::ClaimEnd::NotRun),
                    _ => None,
                }
            }
            _ => None,
        };
        let actions = end.map(|end| self.record(end)).into_iter().collect();
        (gather::SubmissionCoordinator::Closed(self), actions)
    }
}
