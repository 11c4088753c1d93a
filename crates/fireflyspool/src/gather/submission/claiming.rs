//! A submission whose claim is not open yet.

use std::time;

use crate::{gather, outcome};

/// State of a submission that has sent nothing.
#[derive(Clone, Debug)]
pub struct Claiming;

impl gather::Submission<Claiming> {
    pub(super) fn new(submit: gather::Submit, received: time::Instant) -> Self {
        Self {
            submit,
            received,
            state: Claiming,
        }
    }

    pub(super) fn open_claim(&self) -> gather::SubmissionAction {
        gather::SubmissionAction::OpenClaim {
            request: self.submit.request.clone(),
            digest: gather::fingerprint(&self.submit.service, &self.submit.payload),
        }
    }

    pub(super) fn handle(
        self,
        event: gather::SubmissionEvent,
        context: &mut gather::context::Context<'_>,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        match event {
            gather::SubmissionEvent::Claimed(answer) => self.on_claimed(answer, context),
            gather::SubmissionEvent::CallerGone => self.give_up("the caller went away"),
            gather::SubmissionEvent::Timer if context.now >= self.ends_at() => {
                self.give_up("the deadline passed while the claim was opened")
            }
            _ => (gather::SubmissionCoordinator::Claiming(self), Vec::new()),
        }
    }

    fn on_claimed(
        self,
        answer: gather::ClaimAnswer,
        context: &mut gather::context::Context<'_>,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        let request = self.submit.request.clone();
        let finish = match answer {
            gather::ClaimAnswer::Opened => return self.dispatch(context),
            gather::ClaimAnswer::Ran(receipt) => {
                let known = outcome::Outcome::Known { request, receipt };
                gather::SubmissionAction::Finish(known)
            }
            gather::ClaimAnswer::Pending => {
                self.unknown("the request is claimed and has no recorded end")
            }
            gather::ClaimAnswer::Conflict => self.refusal(
                outcome::RefusalReason::Conflict,
                "the request id is known with other content",
                None,
            ),
            gather::ClaimAnswer::TooOld => self.refusal(
                outcome::RefusalReason::TooOld,
                "the request id is older than the retention of claims",
                None,
            ),
            gather::ClaimAnswer::Refused { retry_after } => self.refusal(
                outcome::RefusalReason::Unavailable,
                "no claim could be opened for this sending",
                Some(retry_after),
            ),
            gather::ClaimAnswer::Lost => self.unknown("the claim may be open"),
        };
        (self.closed(gather::Closed::done()), vec![finish])
    }

    fn dispatch(
        self,
        context: &mut gather::context::Context<'_>,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        let sent = self.with_state(gather::Sent::new());
        sent.send_or_refuse(outcome::RefusalReason::Unavailable, None, context)
    }

    /// Ends without knowing whether the claim is open. If the claim turns out to be
    /// open, it is recorded as not run.
    fn give_up(
        self,
        detail: &str,
    ) -> (gather::SubmissionCoordinator, Vec<gather::SubmissionAction>) {
        let finish = self.unknown(detail);
        (self.closed(gather::Closed::claim_pending()), vec![finish])
    }
}
