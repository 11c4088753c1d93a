//! The task of one non-idempotent request.

use std::{sync, time};

use tokio::{
    sync::{Notify, oneshot},
    task,
};

use crate::{gather, ids, outcome, state, traffic};

/// Time beyond the deadline of a sub-request for its owner to report the outcome.
const OWNER_GRACE: time::Duration = time::Duration::from_millis(250);

/// Retry delay after a refused claim; longer than an election takes.
const CLAIM_RETRY: time::Duration = time::Duration::from_secs(1);

/// Drives one submission: claims its id, dispatches it and records the outcome.
pub struct SubmissionTask {
    node: sync::Arc<traffic::EntryNode>,
    submit: gather::Submit,
    received: time::Instant,
    claimant: u64,
    calls: task::JoinSet<gather::SubmissionEvent>,
    report: Option<oneshot::Sender<outcome::Outcome>>,
}

impl SubmissionTask {
    /// Creates the task of a submission; its deadline counts from `received`.
    pub fn new(
        node: sync::Arc<traffic::EntryNode>,
        submit: gather::Submit,
        received: time::Instant,
    ) -> Self {
        let claimant = node.shared().entropy();
        Self {
            node,
            submit,
            received,
            claimant,
            calls: task::JoinSet::new(),
            report: None,
        }
    }

    /// Runs the submission to its outcome.
    ///
    /// Runs in a separate task, because an answer that arrives after the reply to
    /// the caller must still be recorded for a resend.
    pub async fn run(mut self) -> outcome::Outcome {
        let request = self.submit.request.clone();
        let (sender, receiver) = oneshot::channel();
        self.report = Some(sender);
        tokio::spawn(self.drive());
        receiver.await.unwrap_or(outcome::Outcome::Unknown {
            request,
            detail: "the submission ended without an outcome".to_owned(),
        })
    }

    async fn drive(mut self) {
        let (mut coordinator, actions) =
            gather::SubmissionCoordinator::start(self.submit.clone(), self.received);
        self.execute(actions).await;
        let wake = sync::Arc::new(Notify::new());
        if let Some(at) = coordinator.next_wake() {
            let wake = sync::Arc::clone(&wake);
            let timer = &self.node.shared().timer;
            timer.subscribe(at, move || wake.notify_one());
        }
        while self.report.is_some() || !self.calls.is_empty() {
            let event = tokio::select! {
                ended = self.calls.join_next(), if !self.calls.is_empty() => match ended {
                    Some(Ok(event)) => event,
                    _ => continue,
                },
                () = wake.notified() => gather::SubmissionEvent::Timer,
            };
            let actions = self.step(&mut coordinator, event);
            self.execute(actions).await;
        }
    }

    fn step(
        &self,
        coordinator: &mut gather::SubmissionCoordinator,
        event: gather::SubmissionEvent,
    ) -> Vec<gather::SubmissionAction> {
        let shared = self.node.shared();
        let view = shared.view.load_full();
        let entropy = shared.entropy();
        let mut budgets = shared.budgets();
        coordinator.handle(event, &view, &mut budgets, time::Instant::now(), entropy)
    }

    async fn execute(&mut self, actions: Vec<gather::SubmissionAction>) {
        for action in actions {
            match action {
                gather::SubmissionAction::OpenClaim { request, digest } => {
                    self.open_claim(request, digest);
                }
                gather::SubmissionAction::Dispatch { owner, sub } => self.dispatch(owner, sub),
                gather::SubmissionAction::Record { request, end } => {
                    self.record(request, end).await;
                }
                gather::SubmissionAction::Finish(outcome) => {
                    if let Some(report) = self.report.take() {
                        // Fails if the caller has disconnected.
                        let _ = report.send(outcome);
                    }
                }
            }
        }
    }

    fn open_claim(&mut self, request: ids::RequestId, digest: ids::Fingerprint) {
        let node = sync::Arc::clone(&self.node);
        // The leader sets the time of issue.
        let claim = state::Claim {
            request,
            digest,
            claimant: self.claimant,
            issued: 0,
        };
        self.calls.spawn(async move {
            let answer = match node.control().open_claim(&claim).await {
                Ok(state::ClaimReply::Granted) => gather::ClaimAnswer::Opened,
                Ok(state::ClaimReply::Known { receipt }) => gather::ClaimAnswer::Ran(receipt),
                Ok(state::ClaimReply::Unknown) => gather::ClaimAnswer::Pending,
                Ok(state::ClaimReply::Conflict) => gather::ClaimAnswer::Conflict,
                Ok(state::ClaimReply::TooOld | state::ClaimReply::Invalid) => {
                    gather::ClaimAnswer::TooOld
                }
                Err(false) => gather::ClaimAnswer::Refused {
                    retry_after: CLAIM_RETRY,
                },
                Err(true) => gather::ClaimAnswer::Lost,
            };
            gather::SubmissionEvent::Claimed(answer)
        });
    }

    fn dispatch(&mut self, owner: ids::NodeId, sub_request: crate::dispatch::SubRequest) {
        let node = sync::Arc::clone(&self.node);
        let sub = sub_request.sub;
        self.calls.spawn(async move {
            let outcome = node.run_at_owner(owner, sub_request, OWNER_GRACE).await;
            gather::SubmissionEvent::Replied {
                sub,
                owner,
                outcome,
            }
        });
    }

    /// Records the outcome before the caller gets it, so that a resend finds it.
    async fn record(&self, request: ids::RequestId, end: gather::ClaimEnd) {
        let end = match end {
            gather::ClaimEnd::Ran(receipt) => state::ClaimEnd::Ran { receipt },
            gather::ClaimEnd::NotRun => state::ClaimEnd::NotRun,
        };
        let claimant = self.claimant;
        let outcome = state::ClaimOutcome {
            request,
            claimant,
            end,
        };
        if self.node.control().record_claim(&outcome).await.is_err() {
            slog::warn!(self.node.shared().logger, "cannot record the outcome of a claim";
                "request" => &outcome.request);
        }
    }
}
