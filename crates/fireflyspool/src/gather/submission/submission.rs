//! Life cycle of a submission.

use std::time;

use crate::{gather, outcome};

/// Retry time for a refused caller if neither an owner nor the control state gave one.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Submission in one state of its life cycle: [`gather::Claiming`],
/// [`gather::Sent`] or [`gather::Closed`].
///
/// A transition consumes the submission, so nothing can be dispatched before
/// the claim is open or after the end.
#[derive(Clone, Debug)]
pub struct Submission<S> {
    pub(super) submit: gather::Submit,
    pub(super) received: time::Instant,
    pub(super) state: S,
}

impl<S> Submission<S> {
    /// Request of the caller.
    pub fn submit(&self) -> &gather::Submit {
        &self.submit
    }

    /// Deadline of the outcome.
    pub(super) fn ends_at(&self) -> time::Instant {
        self.received + self.submit.deadline
    }

    pub(super) fn with_state<T>(self, state: T) -> Submission<T> {
        Submission {
            submit: self.submit,
            received: self.received,
            state,
        }
    }

    pub(super) fn record(&self, end: gather::ClaimEnd) -> gather::SubmissionAction {
        let request = self.submit.request.clone();
        gather::SubmissionAction::Record { request, end }
    }

    pub(super) fn unknown(&self, detail: &str) -> gather::SubmissionAction {
        gather::SubmissionAction::Finish(outcome::Outcome::Unknown {
            request: self.submit.request.clone(),
            detail: detail.to_owned(),
        })
    }

    pub(super) fn refusal(
        &self,
        reason: outcome::RefusalReason,
        detail: &str,
        retry_after: Option<time::Duration>,
    ) -> gather::SubmissionAction {
        let final_reason = matches!(
            reason,
            outcome::RefusalReason::Conflict
                | outcome::RefusalReason::TooOld
                | outcome::RefusalReason::Suspect
        );
        gather::SubmissionAction::Finish(outcome::Outcome::NotRun(outcome::Refusal {
            request: self.submit.request.clone(),
            reason,
            detail: detail.to_owned(),
            snapshot: None,
            deadline: self.submit.deadline,
            retry_after: (!final_reason).then(|| retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
            addresses: Vec::new(),
        }))
    }
}
