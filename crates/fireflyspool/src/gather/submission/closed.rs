//! A submission whose outcome was reported.

use crate::{dispatch, gather, ids};

/// State of a submission after its end. What arrives late is still recorded,
/// so that a resend of the request gets a better answer than "unknown".
#[derive(Clone, Debug)]
pub struct Closed {
    /// Whether the answer to the opening of the claim is still missing.
    unclaimed: bool,
    /// Sub-request without an end.
    pending: Option<(ids::SubRequestId, ids::NodeId)>,
}

impl Closed {
    pub(super) fn done() -> Self {
        Self {
            unclaimed: false,
            pending: None,
        }
    }

    pub(super) fn unclaimed() -> Self {
        Self {
            unclaimed: true,
            pending: None,
        }
    }

    pub(super) fn pending(sub: ids::SubRequestId, owner: ids::NodeId) -> Self {
        Self {
            unclaimed: false,
            pending: Some((sub, owner)),
        }
    }
}

impl<S> gather::Submission<S> {
    pub(super) fn closed(self, state: Closed) -> gather::SubmissionCoordinator {
        gather::SubmissionCoordinator::Closed(self.with(state))
    }
}

impl gather::Submission<Closed> {
    pub(super) fn handle(
        mut self,
        event: gather::SubmissionEvent,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        let end = match event {
            gather::SubmissionEvent::Claimed(answer) if self.state.unclaimed => {
                self.state.unclaimed = false;
                (answer == gather::ClaimAnswer::Opened).then_some(gather::ClaimEnd::NotRun)
            }
            gather::SubmissionEvent::Replied {
                sub,
                owner,
                outcome,
            } if self.state.pending == Some((sub, owner)) => {
                self.state.pending = None;
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
