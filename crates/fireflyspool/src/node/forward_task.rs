//! Task that forwards one request.

use std::{sync, time};

use futures_util::{FutureExt as _, StreamExt as _, future, stream};
use tokio::{sync::watch, task};

use crate::{configuration, fleet, forward, ids, node, shutdown, telemetry, timer};

/// Time for which attempts go on after the request is answered, so that their
/// connections can be reused. A longer one is cut: its server is slow or silent.
const LATE_ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time before the end of a shutdown at which running requests are answered, so that the
/// answers are written before the process ends.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(300);

/// Number of an attempt and how it ended.
type Ended = (ids::AttemptId, forward::AttemptEnd);

/// Drives the exchange of one request: runs its attempts and wakes it.
///
/// All attempts run in the task of the request, so responses that arrive together
/// wake one task.
pub(super) struct ForwardTask {
    forwarding: sync::Arc<node::Forwarding>,
    view: sync::Arc<fleet::View>,
    request: forward::Request,
    route: sync::Arc<configuration::Route>,
    message: sync::Arc<node::Message>,
    attempts: stream::FuturesUnordered<future::BoxFuture<'static, Ended>>,
    /// Service, backend server and start in milliseconds of each attempt, for the log.
    send_log: String,
    received: time::Instant,
    /// Whether there are attempts that were not polled yet; polling writes them.
    unwritten: bool,
    /// When the exchange is to be woken.
    wake_at: time::Instant,
    /// Largest delay of a wake-up.
    wake_lag: time::Duration,
    /// When the last event was due: the end of an attempt or a wake-up.
    event_at: time::Instant,
}

impl ForwardTask {
    /// Creates the task of a request that has not started.
    pub(super) fn new(
        forwarding: sync::Arc<node::Forwarding>,
        view: sync::Arc<fleet::View>,
        (request, message): (forward::Request, node::Message),
        route: sync::Arc<configuration::Route>,
        received: time::Instant,
    ) -> Self {
        Self {
            forwarding,
            view,
            request,
            route,
            message: sync::Arc::new(message),
            attempts: stream::FuturesUnordered::new(),
            send_log: String::new(),
            received,
            unwritten: false,
            wake_at: received,
            wake_lag: time::Duration::ZERO,
            event_at: received,
        }
    }

    /// Runs attempts until the request is answered or refused.
    pub(super) async fn run(mut self) -> forward::Outcome {
        let timer = self.forwarding.process.timer.clone();
        let answer_delay = self.forwarding.answer_delay.value();
        let timeout = self.request.timeout;
        let timing = forward::Timing::new(&self.route, timeout, answer_delay, self.received);
        let mut drain = self.forwarding.watch_drain();
        let (mut exchange, actions) = self.start(timing);
        let mut sleep = timer.sleep_until(timing.deadline);
        let mut outcome = self.execute(actions, &mut sleep);
        while outcome.is_none() {
            let actions = if self.unwritten {
                self.write_attempts(&mut exchange)
            } else {
                tokio::select! {
                    biased;
                    Some(ended) = self.attempts.next() => self.end_attempt(&mut exchange, ended),
                    deadline = shutdown_deadline(&mut drain) => {
                        let limit = deadline.checked_sub(ANSWER_MARGIN).unwrap_or(deadline);
                        let fleet = self.forwarding.fleet();
                        exchange.limit_deadline(limit, &fleet, time::Instant::now())
                    }
                    () = &mut sleep => self.wake(&mut exchange).await,
                }
            };
            outcome = self.execute(actions, &mut sleep);
        }
        let outcome = outcome.unwrap_or(forward::Outcome::Failed);
        self.finish(exchange, &outcome);
        outcome
    }

    fn start(&self, timing: forward::Timing) -> (forward::Exchange, Vec<forward::Action>) {
        let mut fleet = self.forwarding.updated_fleet(&self.view);
        let route = sync::Arc::clone(&self.route);
        let now = time::Instant::now();
        forward::Exchange::start(route, timing, &mut fleet, rand::random(), now)
    }

    /// Polls new attempts, which writes them; the poll ends early if an attempt ends.
    fn write_attempts(&mut self, exchange: &mut forward::Exchange) -> Vec<forward::Action> {
        match self.attempts.next().now_or_never().flatten() {
            Some(ended) => self.end_attempt(exchange, ended),
            None => {
                self.unwritten = false;
                exchange.attempts_written(&self.forwarding.fleet(), time::Instant::now())
            }
        }
    }

    fn end_attempt(
        &mut self,
        exchange: &mut forward::Exchange,
        (attempt, end): Ended,
    ) -> Vec<forward::Action> {
        let mut fleet = self.forwarding.fleet();
        let now = time::Instant::now();
        self.event_at = now;
        exchange.attempt_ended(attempt, end, &mut fleet, rand::random(), now)
    }

    /// Handles the responses that have arrived, and then what is due.
    ///
    /// On a VM that lacks processor time, more responses arrive while it handles some.
    /// Nothing counts as overdue before the last one that has arrived is handled.
    async fn wake(&mut self, exchange: &mut forward::Exchange) -> Vec<forward::Action> {
        let mut actions = Vec::new();
        loop {
            // The runtime reads what has arrived meanwhile.
            task::yield_now().await;
            let mut arrived = false;
            while let Some(Some(ended)) = self.attempts.next().now_or_never() {
                arrived = true;
                actions.extend(self.end_attempt(exchange, ended));
                if exchange.is_finished() {
                    return actions;
                }
            }
            if !arrived {
                break;
            }
        }
        let mut fleet = self.forwarding.fleet();
        let now = time::Instant::now();
        let lag = now.saturating_duration_since(self.wake_at);
        self.wake_lag = self.wake_lag.max(lag);
        self.event_at = self.wake_at;
        actions.extend(exchange.wake(&mut fleet, rand::random(), now));
        self.forwarding.report_observations(&mut fleet);
        actions
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
        let mut guard = node::attempt_guard::AttemptGuard::new(
            sync::Arc::clone(&self.forwarding),
            sync::Arc::clone(&self.route),
            sync::Arc::clone(&self.message),
            send.clone(),
        );
        let sending = self
            .forwarding
            .client
            .send(send.clone(), sync::Arc::clone(&self.message));
        self.unwritten = true;
        self.attempts.push(Box::pin(async move {
            guard.begin();
            let (end, condition) = sending.await;
            guard.end(&end, &condition);
            (send.attempt, end)
        }));
    }

    /// Records the outcome, and lets attempts go on for [`LATE_ATTEMPT_TIMEOUT`].
    ///
    /// This takes place in a task of its own, so that the answer is written first.
    fn finish(mut self, exchange: forward::Exchange, outcome: &forward::Outcome) {
        let elapsed = self.received.elapsed();
        let label = outcome.label();
        let gathered = matches!(outcome, forward::Outcome::Gathered { .. });
        let missing = match outcome {
            forward::Outcome::Gathered { missing, .. } => *missing,
            _ => 0,
        };
        let status = match outcome {
            forward::Outcome::Passed(response) => response.status,
            _ => 0,
        };
        tokio::spawn(async move {
            if gathered {
                let delay = self.event_at.elapsed();
                self.forwarding.answer_delay.record(delay);
            }
            exchange.report_sub_requests(&mut self.forwarding.fleet(), time::Instant::now());
            self.log_outcome(&exchange, label, (status, missing), elapsed);
            if self.attempts.is_empty() {
                return;
            }
            let sleep = self.forwarding.process.timer.sleep(LATE_ATTEMPT_TIMEOUT);
            tokio::select! {
                () = sleep => {}
                () = async { while self.attempts.next().await.is_some() {} } => {}
            }
        });
    }

    fn log_outcome(
        &self,
        exchange: &forward::Exchange,
        label: &str,
        (status, missing): (u16, usize),
        elapsed: time::Duration,
    ) {
        let (request, view) = (&self.request, &self.view);
        let metrics = &self.forwarding.metrics;
        telemetry::Metrics::count(&metrics.outcomes, label);
        metrics.observe(&self.route.name, elapsed);
        let caller_timeout = request.timeout.map_or(0, |timeout| timeout.as_millis());
        let age = view.confirmed.map_or(0, |at| at.elapsed().as_millis());
        slog::info!(self.forwarding.process.logger, "request answered";
            "request" => &request.id, "route" => &self.route.name,
            "outcome" => label, "status" => status, "missing" => missing,
            "elapsed_us" => node::forwarding::micros(elapsed), "hedges" => exchange.hedges(),
            "retries" => exchange.retries(), "open" => ?exchange.pending_services(),
            "caller_timeout_ms" => u64::try_from(caller_timeout).unwrap_or(u64::MAX),
            "wake_lag_us" => node::forwarding::micros(self.wake_lag),
            "sends" => self.send_log.trim_end(),
            "view" => view.generation, "view_age_ms" => u64::try_from(age).unwrap_or(u64::MAX));
    }
}

/// Waits until running requests have a deadline because the process shuts down.
async fn shutdown_deadline(drain: &mut watch::Receiver<shutdown::AnyDrain>) -> time::Instant {
    while drain.changed().await.is_ok() {
        if let shutdown::AnyDrain::Refusing(refusing) = *drain.borrow_and_update() {
            return refusing.deadline();
        }
    }
    future::pending().await
}
