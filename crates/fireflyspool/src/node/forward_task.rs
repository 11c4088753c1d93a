//! Task that forwards one request.

use std::{sync, time};

use tokio::task;

use crate::{configuration, fleet, forward, ids, node, telemetry, timer};

/// Time for which attempts go on after the request is answered, so that their
/// connections can be reused. A longer one is cut: its server is slow or silent.
const LATE_ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Number of an attempt and how it ended.
type Ended = (ids::AttemptId, forward::AttemptEnd);

/// Drives the exchange of one request: starts its attempts and wakes it.
pub(super) struct ForwardTask {
    forwarding: sync::Arc<node::Forwarding>,
    route: sync::Arc<configuration::Route>,
    message: sync::Arc<node::Message>,
    attempts: task::JoinSet<Ended>,
    /// Service, backend server and start in milliseconds of each attempt, for the log.
    send_log: String,
    received: time::Instant,
    /// When the exchange is to be woken.
    wake_at: time::Instant,
    /// Largest delay of a wake-up.
    wake_lag: time::Duration,
}

impl ForwardTask {
    /// Creates the task of a request that has not started.
    pub(super) fn new(
        forwarding: sync::Arc<node::Forwarding>,
        route: sync::Arc<configuration::Route>,
        message: node::Message,
        received: time::Instant,
    ) -> Self {
        Self {
            forwarding,
            route,
            message: sync::Arc::new(message),
            attempts: task::JoinSet::new(),
            send_log: String::new(),
            received,
            wake_at: received,
            wake_lag: time::Duration::ZERO,
        }
    }

    /// Runs attempts until the request is answered or refused.
    pub(super) async fn run(
        mut self,
        (view, request): (&fleet::View, &forward::Request),
        timing: forward::Timing,
    ) -> forward::Outcome {
        let forwarding = sync::Arc::clone(&self.forwarding);
        let timer = &forwarding.process.timer;
        let (mut exchange, actions) = self.start(view, timing);
        let mut sleep = timer.sleep_until(timing.deadline);
        let mut outcome = self.execute(actions, &mut sleep);
        while outcome.is_none() {
            let actions = tokio::select! {
                Some(ended) = self.attempts.join_next() => {
                    // An attempt that panicked is ignored; the request goes on.
                    let Ok((attempt, end)) = ended else { continue };
                    let mut fleet = forwarding.fleet();
                    let now = time::Instant::now();
                    exchange.attempt_ended(attempt, end, &mut fleet, rand::random(), now)
                }
                () = &mut sleep => {
                    let mut fleet = forwarding.fleet();
                    let now = time::Instant::now();
                    self.wake_lag = self.wake_lag.max(now.saturating_duration_since(self.wake_at));
                    let actions = exchange.wake(&mut fleet, rand::random(), now);
                    forwarding.report_observations(&mut fleet);
                    actions
                }
            };
            outcome = self.execute(actions, &mut sleep);
        }
        let outcome = outcome.unwrap_or(forward::Outcome::Failed);
        exchange.report_sub_requests(&mut forwarding.fleet(), time::Instant::now());
        self.log_outcome(&exchange, view, request, &outcome);
        self.finish_late_attempts();
        outcome
    }

    fn start(
        &mut self,
        view: &fleet::View,
        timing: forward::Timing,
    ) -> (forward::Exchange, Vec<forward::Action>) {
        let mut fleet = self.forwarding.fleet();
        let now = time::Instant::now();
        if fleet.update(view, now) {
            self.forwarding.publish_suspended(&fleet);
        }
        let route = sync::Arc::clone(&self.route);
        forward::Exchange::start(route, timing, &mut fleet, rand::random(), now)
    }

    fn execute(
        &mut self,
        actions: Vec<forward::Action>,
        sleep: &mut timer::Sleep,
    ) -> Option<forward::Outcome> {
        let mut outcome = None;
        for action in actions {
            match action {
                forward::Action::Send(send) => self.send(send),
                forward::Action::WakeAt(at) => {
                    self.wake_at = at;
                    sleep.reset(at);
                }
                forward::Action::Finish(end) => outcome = Some(end),
            }
        }
        outcome
    }

    fn send(&mut self, send: forward::Send) {
        use std::fmt::Write as _;
        let elapsed = self.received.elapsed().as_millis();
        // Writing to a string cannot fail.
        let _ = write!(self.send_log, "{}>{}@{elapsed} ", send.service, send.server);
        let guard = node::attempt_guard::AttemptGuard::new(
            sync::Arc::clone(&self.forwarding),
            sync::Arc::clone(&self.route),
            sync::Arc::clone(&self.message),
            send.clone(),
        );
        let sending = self
            .forwarding
            .client
            .send(send.clone(), sync::Arc::clone(&self.message));
        self.attempts.spawn(async move {
            let (end, load) = sending.await;
            guard.end(&end, load);
            (send.attempt, end)
        });
    }

    fn log_outcome(
        &self,
        exchange: &forward::Exchange,
        view: &fleet::View,
        request: &forward::Request,
        outcome: &forward::Outcome,
    ) {
        let elapsed = self.received.elapsed();
        let metrics = &self.forwarding.metrics;
        telemetry::Metrics::count(&metrics.outcomes, outcome.label());
        metrics.observe(&self.route.name, elapsed);
        let missing = match outcome {
            forward::Outcome::Gathered { missing, .. } => *missing,
            _ => 0,
        };
        let status = match outcome {
            forward::Outcome::Passed(response) => response.status,
            _ => 0,
        };
        let caller_timeout = request.timeout.map_or(0, |timeout| timeout.as_millis());
        let age = view.confirmed.map_or(0, |at| at.elapsed().as_millis());
        slog::info!(self.forwarding.process.logger, "request answered";
            "request" => &request.id, "route" => &self.route.name,
            "outcome" => outcome.label(), "status" => status, "missing" => missing,
            "elapsed_us" => node::forwarding::micros(elapsed), "hedges" => exchange.hedges(),
            "retries" => exchange.retries(), "open" => ?exchange.pending_services(),
            "caller_timeout_ms" => u64::try_from(caller_timeout).unwrap_or(u64::MAX),
            "wake_lag_us" => node::forwarding::micros(self.wake_lag),
            "sends" => self.send_log.trim_end(),
            "view" => view.generation, "view_age_ms" => u64::try_from(age).unwrap_or(u64::MAX));
    }

    /// Lets attempts go on for [`LATE_ATTEMPT_TIMEOUT`] after the answer.
    fn finish_late_attempts(mut self) {
        if self.attempts.is_empty() {
            return;
        }
        tokio::spawn(async move {
            let sleep = self.forwarding.process.timer.sleep(LATE_ATTEMPT_TIMEOUT);
            tokio::select! {
                () = sleep => {}
                () = async { while self.attempts.join_next().await.is_some() {} } => {}
            }
        });
    }
}
