//! Coordinator of one submission.

use std::time;

use crate::{gather, view};

/// One submission in its current state.
#[derive(Clone, Debug)]
pub enum SubmissionCoordinator {
    /// The claim is being opened; nothing was sent.
    Claiming(gather::Submission<gather::Claiming>),
    /// An owner has the submission.
    Sent(gather::Submission<gather::Sent>),
    /// The outcome was reported.
    Closed(gather::Submission<gather::Closed>),
    /// Placeholder while a transition owns the submission; remains only if that
    /// transition panics.
    Abandoned,
}

impl SubmissionCoordinator {
    /// Starts a submission by opening its claim.
    pub fn start(
        submit: gather::Submit,
        received: time::Instant,
    ) -> (Self, Vec<gather::SubmissionAction>) {
        let submission = gather::Submission::new(submit, received);
        let open = submission.open_claim();
        (Self::Claiming(submission), vec![open])
    }

    /// Handles an event and returns the actions that follow from it.
    pub fn handle(
        &mut self,
        event: gather::SubmissionEvent,
        view: &view::View,
        budgets: &mut gather::Budgets,
        now: time::Instant,
        entropy: u64,
    ) -> Vec<gather::SubmissionAction> {
        let mut context = gather::context::Context {
            view,
            budgets,
            now,
            entropy: gather::split_mix64::SplitMix64(entropy),
        };
        let (next, actions) = match std::mem::replace(self, Self::Abandoned) {
            Self::Claiming(submission) => submission.handle(event, &mut context),
            Self::Sent(submission) => submission.handle(event, &mut context),
            Self::Closed(submission) => submission.handle(event),
            Self::Abandoned => (Self::Abandoned, Vec::new()),
        };
        *self = next;
        actions
    }

    /// When [`gather::SubmissionEvent::Timer`] is due; `None` once the submission is closed.
    pub fn next_wake(&self) -> Option<time::Instant> {
        match self {
            Self::Claiming(submission) => Some(submission.ends_at()),
            Self::Sent(submission) => Some(submission.ends_at()),
            Self::Closed(_) | Self::Abandoned => None,
        }
    }
}
