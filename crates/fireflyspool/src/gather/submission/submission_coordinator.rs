//! Coordinator of one submission.

use std::time;

use crate::{gather, view};

/// One submission in whichever state it is.
#[derive(Clone, Debug)]
pub enum SubmissionCoordinator {
    /// The claim is being opened; nothing was sent.
    Claiming(gather::Submission<gather::Claiming>),
    /// It is at an owner.
    Sent(gather::Submission<gather::Sent>),
    /// The outcome was reported.
    Closed(gather::Submission<gather::Closed>),
    /// A transition owns the submission; stays only if that transition panics.
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

    /// Takes an event and returns what follows from it.
    pub fn handle(
        &mut self,
        event: gather::SubmissionEvent,
        view: &view::View,
        budgets: &mut gather::Budgets,
        now: time::Instant,
        entropy: u64,
    ) -> Vec<gather::SubmissionAction> {
        let mut scene = gather::scene::Scene {
            view,
            budgets,
            now,
            entropy: gather::entropy::Entropy(entropy),
        };
        let (next, actions) = match std::mem::replace(self, Self::Abandoned) {
            Self::Claiming(submission) => submission.handle(event, &mut scene),
            Self::Sent(submission) => submission.handle(event, &mut scene),
            Self::Closed(submission) => submission.handle(event),
            Self::Abandoned => (Self::Abandoned, Vec::new()),
        };
        *self = next;
        actions
    }

    /// When [`gather::SubmissionEvent::Timer`] is due; `None` after the end.
    pub fn next_wake(&self) -> Option<time::Instant> {
        match self {
            Self::Claiming(submission) => Some(submission.ends_at()),
            Self::Sent(submission) => Some(submission.ends_at()),
            Self::Closed(_) | Self::Abandoned => None,
        }
    }
}
