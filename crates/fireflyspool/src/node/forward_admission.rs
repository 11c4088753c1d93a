//! Admission of a request before anything is sent for it.

use std::{sync, time};

use crate::{admission, configuration, forward, node, outcome, telemetry};

impl node::forward_task::ForwardTask {
    /// Waits until admission decides; returns the registration of the request, if its
    /// configuration ranks requests, or its refusal.
    pub(super) async fn admit(
        &mut self,
        kind: Option<outcome::Kind>,
        timing: &forward::Timing,
    ) -> Result<Option<node::admission_pass::AdmissionPass>, forward::Outcome> {
        let Some(kind) = kind else {
            return Ok(None);
        };
        let now = time::Instant::now();
        let forecast = {
            let mut fleet = self.forwarding.updated_fleet(&self.view);
            forward::forecast(&self.route, kind, timing, &mut fleet, rand::random(), now)
        };
        let cost = match &self.route.target {
            configuration::Target::Gather(gather) => {
                u32::try_from(gather.shards.len()).unwrap_or(u32::MAX)
            }
            _ => 1,
        };
        let arrival = {
            let mut gate = self.forwarding.admission();
            gate.arrive(kind, timing.deadline, cost, forecast, now)
        };
        let (ticket, mut decided) = arrival;
        let pass =
            node::admission_pass::AdmissionPass::new(sync::Arc::clone(&self.forwarding), ticket);
        self.admission = match forecast.is_shortage() {
            true => "started_in_shortage",
            false => "started",
        };
        let action = loop {
            if let Ok(action) = decided.try_recv() {
                break action;
            }
            self.admission = "started_after_wait";
            let wake = self.forwarding.admission().next_wake();
            self.sleep.reset(wake.unwrap_or(timing.deadline));
            tokio::select! {
                action = &mut decided => match action {
                    Ok(action) => break action,
                    // The sender is only dropped with a decision or by the end of the pass.
                    Err(_) => return Err(forward::Outcome::Refused { retry_after: time::Duration::ZERO }),
                },
                () = &mut self.sleep => {
                    let event = admission::Event::Timer;
                    self.forwarding.admission().handle(event, time::Instant::now());
                }
            }
        };
        match action {
            admission::Action::Start { .. } => {
                self.count_decision(kind, self.admission);
                Ok(Some(pass))
            }
            admission::Action::Refuse {
                reason,
                retry_after,
                ..
            } => {
                self.count_decision(kind, reason.name());
                slog::info!(self.forwarding.process.logger, "request not admitted";
                    "request" => &self.request.id, "route" => &self.route.name,
                    "kind" => kind.name(), "reason" => reason.name(), "cost" => cost,
                    "retry_after_ms" => u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
                    "chance" => forecast.chance, "rejections" => forecast.rejections,
                    "queues" => forecast.queues,
                    "elapsed_us" => node::forwarding::micros(self.received.elapsed()));
                let metrics = &self.forwarding.metrics;
                telemetry::Metrics::count(&metrics.refusals, reason.name());
                telemetry::Metrics::count(&metrics.outcomes, "refused");
                Err(forward::Outcome::Refused { retry_after })
            }
        }
    }

    fn count_decision(&self, kind: outcome::Kind, reason: &str) {
        let name = format!("{}_{reason}", kind.name());
        telemetry::Metrics::count(&self.forwarding.metrics.admissions, &name);
    }
}

/// How admission is to regard this outcome of a request that has started.
pub(super) fn end_of(outcome: &forward::Outcome, is_late: bool) -> admission::End {
    match outcome {
        forward::Outcome::Passed(_) | forward::Outcome::Gathered { .. } if !is_late => {
            admission::End::InTime
        }
        _ => admission::End::Late,
    }
}
