//! The task of one search.

use std::{sync, time};

use tokio::{
    sync::{Notify, oneshot},
    task,
};

use crate::{admission, dispatch, gather, ids, outcome, plan, telemetry, timer, traffic, view};

/// Time beyond the deadline of a sub-request for its owner to report the outcome.
const OWNER_GRACE: time::Duration = time::Duration::from_millis(250);

/// Drives one search through planning, admission and gathering.
///
/// The search runs to its outcome even if the caller has disconnected: the listener
/// does not report that, and the deadline bounds the work.
pub struct QueryTask {
    node: sync::Arc<traffic::EntryNode>,
    search: plan::Search,
    received: time::Instant,
    calls: task::JoinSet<gather::Event>,
    wake: sync::Arc<Notify>,
    armed: timer::Alarm,
    warning: Option<(ids::Fingerprint, Vec<ids::ServerName>)>,
    finished: Option<outcome::Outcome>,
}

impl QueryTask {
    /// Creates the task of a search; its deadline counts from `received`.
    pub fn new(
        node: sync::Arc<traffic::EntryNode>,
        search: plan::Search,
        received: time::Instant,
    ) -> Self {
        let armed = timer::Alarm::new(node.shared().timer.clone());
        Self {
            node,
            search,
            received,
            calls: task::JoinSet::new(),
            wake: sync::Arc::default(),
            armed,
            warning: None,
            finished: None,
        }
    }

    /// Runs the search to its outcome, or waits for an identical one.
    pub async fn run(mut self) -> outcome::Outcome {
        let plan = match self.node.plan(&self.search) {
            Ok(plan) => plan,
            Err(error) => return outcome::Outcome::NotRun(error.refusal(&self.search)),
        };
        let ticket = self.node.next_ticket();
        let reads = self.node.reads();
        if let Some(end) = reads.join(&self.search, &plan, ticket, self.received)
            && let Ok(admission::Release::Answered { outcome, .. }) = end.await
        {
            return outcome;
        }
        let cost = u32::try_from(plan.routes.total()).unwrap_or(u32::MAX);
        let outcome = self.run_unshared(ticket, cost).await;
        self.node.reads().finish(ticket, &outcome);
        outcome
    }

    async fn run_unshared(&mut self, ticket: ids::Ticket, cost: u32) -> outcome::Outcome {
        if let Err(refusal) = self.admit(ticket, cost).await {
            return outcome::Outcome::NotRun(*refusal);
        }
        let outcome = self.gather().await;
        let in_time = self.received.elapsed() <= self.search.deadline;
        let end = if in_time {
            admission::End::InTime
        } else {
            admission::End::Late
        };
        self.report_end(ticket, end).await;
        outcome
    }

    async fn admit(&self, ticket: ids::Ticket, cost: u32) -> Result<(), Box<outcome::Refusal>> {
        let event = admission::Event::Arrived {
            ticket,
            kind: self.search.kind,
            deadline: self.received + self.search.deadline,
            cost,
        };
        let (reply, decision) = oneshot::channel();
        let message = traffic::AdmissionMessage::Arrived(event, reply);
        if self.node.admission().try_send(message).is_err() {
            return Err(self.refuse(outcome::RefusalReason::Overloaded, None));
        }
        match decision.await {
            Ok(admission::Action::Start { .. }) => Ok(()),
            Ok(admission::Action::Refuse {
                reason,
                retry_after,
                ..
            }) => Err(self.refuse(reason, Some(retry_after))),
            Err(_) => Err(self.refuse(outcome::RefusalReason::Overloaded, None)),
        }
    }

    /// Waits for room in the queue: a lost message would leak the place of the request.
    async fn report_end(&self, ticket: ids::Ticket, end: admission::End) {
        let message = traffic::AdmissionMessage::Ended(ticket, end);
        // Fails only at process exit, when the admission task has ended.
        let _ = self.node.admission().send(message).await;
    }

    fn refuse(
        &self,
        reason: outcome::RefusalReason,
        retry_after: Option<time::Duration>,
    ) -> Box<outcome::Refusal> {
        Box::new(outcome::Refusal {
            request: self.search.request.clone(),
            reason,
            detail: "this entry VM takes no more requests of this kind now".to_owned(),
            snapshot: None,
            deadline: self.search.deadline,
            retry_after,
            addresses: Vec::new(),
        })
    }

    /// Plans again, since the view may have changed during queueing, and gathers.
    async fn gather(&mut self) -> outcome::Outcome {
        let now = time::Instant::now();
        let view = self.view();
        let plan = match self.node.plan(&self.search) {
            Ok(plan) => plan,
            Err(error) => return outcome::Outcome::NotRun(error.refusal(&self.search)),
        };
        let entropy = self.entropy();
        let (mut coordinator, actions) = {
            let mut budgets = self.node.shared().budgets();
            gather::Coordinator::start_received(
                plan,
                self.search.clone(),
                self.received,
                &view,
                &mut budgets,
                now,
                entropy,
            )
        };
        drop(view);
        self.execute(actions);
        while self.finished.is_none() {
            self.arm_timer(coordinator.next_wake());
            let event = self.next_event().await;
            let actions = self.step(&mut coordinator, event);
            self.execute(actions);
        }
        self.armed.clear();
        if let Some((fingerprint, servers)) = self.warning.take() {
            self.node.warn(fingerprint, &servers).await;
        }
        self.finished
            .take()
            .unwrap_or_else(|| outcome::Outcome::Unknown {
                request: self.search.request.clone(),
                detail: "the search ended without an outcome".to_owned(),
            })
    }

    fn step(
        &self,
        coordinator: &mut gather::Coordinator,
        event: gather::Event,
    ) -> Vec<gather::Action> {
        let view = self.view();
        let entropy = self.entropy();
        let mut budgets = self.node.shared().budgets();
        coordinator.handle(event, &view, &mut budgets, time::Instant::now(), entropy)
    }

    async fn next_event(&mut self) -> gather::Event {
        let wake = sync::Arc::clone(&self.wake);
        loop {
            tokio::select! {
                ended = self.calls.join_next(), if !self.calls.is_empty() => {
                    if let Some(Ok(event)) = ended {
                        return event;
                    }
                }
                () = wake.notified() => return gather::Event::Timer,
            }
        }
    }

    fn execute(&mut self, actions: Vec<gather::Action>) {
        for action in actions {
            match action {
                gather::Action::Dispatch { owner, subs } => {
                    for sub_request in subs {
                        self.dispatch(owner, sub_request);
                    }
                }
                gather::Action::Cancel { owner, subs } => {
                    self.node.send_cancel(owner, &self.search.service, subs);
                }
                gather::Action::Warn {
                    fingerprint,
                    servers,
                } => self.warning = Some((fingerprint, servers)),
                gather::Action::Finish(outcome) => self.finished = Some(outcome),
                gather::Action::Log(decision) => self.node.shared().log_routing(&decision),
            }
        }
    }

    fn dispatch(&mut self, owner: ids::NodeId, sub_request: dispatch::SubRequest) {
        let cause = if sub_request.hedge { "hedge" } else { "first" };
        telemetry::Metrics::count(&self.node.shared().metrics.subrequests, cause);
        let node = sync::Arc::clone(&self.node);
        let sub = sub_request.sub;
        self.calls.spawn(async move {
            let outcome = node.run_at_owner(owner, sub_request, OWNER_GRACE).await;
            gather::Event::Replied {
                sub,
                owner,
                outcome,
            }
        });
    }

    fn view(&self) -> sync::Arc<view::View> {
        self.node.shared().view.load_full()
    }

    fn entropy(&self) -> u64 {
        self.node.shared().entropy()
    }

    fn arm_timer(&mut self, next: Option<time::Instant>) {
        let wake = sync::Arc::clone(&self.wake);
        self.armed.set(next, move || wake.notify_one());
    }
}
