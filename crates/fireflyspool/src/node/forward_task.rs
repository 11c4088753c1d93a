//! Task that forwards one request.

use std::{
    collections, net,
    sync::{self, atomic},
    time,
};

use futures_util::{FutureExt as _, StreamExt as _, future, stream};
use tokio::{sync::watch, task};

use crate::{
    access, admission, configuration, fleet, forward, ids, node, outcome, rim, shutdown, telemetry,
    timer,
};

/// Time for which attempts go on after the request is answered, so that their
/// connections can be reused. A longer one is cut: its server is slow or silent.
const LATE_ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time before the end of a shutdown at which running requests are answered, so that the
/// answers are written before the process ends.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(300);

/// End of an attempt, or an answer to a delegated group, with its number.
enum Ended {
    Attempt(ids::AttemptId, forward::AttemptEnd),
    Group(
        ids::AttemptId,
        rim::GroupProgress,
        node::group_guard::GroupGuard,
    ),
}

/// Drives the exchange of one request: runs its attempts and wakes it.
///
/// All attempts run in the task of the request, so responses that arrive together
/// wake one task.
pub(super) struct ForwardTask {
    pub(super) forwarding: sync::Arc<node::Forwarding>,
    pub(super) view: sync::Arc<fleet::View>,
    pub(super) request: forward::Request,
    pub(super) route: sync::Arc<configuration::Route>,
    /// Effective priority; 0 is the most urgent.
    priority: u32,
    /// How admission decided, for the log.
    pub(super) admission: &'static str,
    message: sync::Arc<node::Message>,
    content: ids::Fingerprint,
    attempts: stream::FuturesUnordered<future::BoxFuture<'static, Ended>>,
    /// Whether a server has responded, so that the content is harmless.
    responded: sync::Arc<atomic::AtomicBool>,
    /// Service, backend server and start in milliseconds of each attempt, for the log.
    send_log: String,
    pub(super) received: time::Instant,
    pub(super) sleep: timer::Sleep,
    drain: watch::Receiver<shutdown::AnyDrain>,
    outcome: Option<forward::Outcome>,
    /// Answers to the entry VM that delegated a group, not yet taken.
    reports: collections::VecDeque<forward::GroupAnswer>,
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
        let account = request.account();
        let priority = account.map_or(route.priority, |account| account.priority_on(&route));
        Self {
            sleep: forwarding.process.timer.sleep_until(received),
            drain: forwarding.watch_drain(),
            forwarding,
            view,
            request,
            priority,
            admission: "not_ranked",
            route,
            content: message.fingerprint(),
            message: sync::Arc::new(message),
            attempts: stream::FuturesUnordered::new(),
            responded: sync::Arc::default(),
            send_log: String::new(),
            received,
            outcome: None,
            reports: collections::VecDeque::new(),
            unwritten: false,
            wake_at: received,
            wake_lag: time::Duration::ZERO,
            event_at: received,
        }
    }

    /// Runs attempts until the request is answered or refused.
    pub(super) async fn run(mut self) -> forward::Outcome {
        let answer_delay = self.forwarding.answer_delay.value();
        let timeout = self.request.timeout;
        let timing = forward::Timing::new(&self.route, timeout, answer_delay, self.received);
        let kind = self.kind();
        let pass = match self.admit(kind, &timing).await {
            Ok(pass) => pass,
            Err(refusal) => return refusal,
        };
        let (exchange, actions) = {
            let mut fleet = self.forwarding.updated_fleet(&self.view);
            let route = sync::Arc::clone(&self.route);
            let (now, entropy) = (time::Instant::now(), rand::random());
            let content = (self.content, kind);
            forward::Exchange::start_of_kind(route, content, timing, &mut fleet, entropy, now)
        };
        let mut running = node::running_exchange::RunningExchange::new(
            sync::Arc::clone(&self.forwarding),
            exchange,
        );
        self.execute(&mut running.exchange, actions);
        while self.outcome.is_none() && !running.exchange.is_finished() {
            self.step(&mut running.exchange).await;
        }
        let outcome = self.outcome.take().unwrap_or(forward::Outcome::Failed);
        if let Some(pass) = pass {
            let is_late = time::Instant::now() > timing.objective;
            pass.end(node::forward_admission::end_of(&outcome, is_late));
        }
        self.finish(running, &outcome);
        outcome
    }

    /// Kind of the request by its priority; `None` if this VM does not rank requests.
    fn kind(&self) -> Option<outcome::Kind> {
        let table = self.view.table.as_ref()?;
        if !self.forwarding.ranked {
            return None;
        }
        admission::KindRanking::new(table.priorities()).kind(self.priority)
    }

    /// Sends the first attempts of a group that another entry VM has delegated.
    pub(super) fn start_group(
        &mut self,
        group: &forward::Group,
    ) -> node::running_exchange::RunningExchange {
        let (exchange, actions) = {
            let mut fleet = self.forwarding.updated_fleet(&self.view);
            let now = time::Instant::now();
            forward::Exchange::start_group(group, &mut fleet, rand::random(), now)
        };
        let mut running = node::running_exchange::RunningExchange::new(
            sync::Arc::clone(&self.forwarding),
            exchange,
        );
        self.execute(&mut running.exchange, actions);
        running
    }

    /// Runs attempts until there is an answer to the group; `None` if the last one was taken.
    pub(super) async fn next_report(
        &mut self,
        exchange: &mut forward::Exchange,
    ) -> Option<forward::GroupAnswer> {
        while self.reports.is_empty() && !exchange.is_finished() {
            self.step(exchange).await;
        }
        self.reports.pop_front()
    }

    /// Whether there are answers to the group that were not taken.
    pub(super) fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Waits for the next event and handles it.
    async fn step(&mut self, exchange: &mut forward::Exchange) {
        let actions = if self.unwritten {
            self.write_attempts(exchange)
        } else {
            tokio::select! {
                biased;
                Some(ended) = self.attempts.next() => self.handle_end(exchange, ended),
                deadline = shutdown_deadline(&mut self.drain) => {
                    let limit = deadline.checked_sub(ANSWER_MARGIN).unwrap_or(deadline);
                    let fleet = self.forwarding.fleet();
                    exchange.limit_deadline(limit, &fleet, time::Instant::now())
                }
                () = &mut self.sleep => self.wake(exchange).await,
            }
        };
        self.execute(exchange, actions);
    }

    /// Polls new attempts, which writes them; the poll ends early if an attempt ends.
    fn write_attempts(&mut self, exchange: &mut forward::Exchange) -> Vec<forward::Action> {
        match self.attempts.next().now_or_never().flatten() {
            Some(ended) => self.handle_end(exchange, ended),
            None => {
                self.unwritten = false;
                let mut fleet = self.forwarding.fleet();
                exchange.attempts_written(&mut fleet, time::Instant::now())
            }
        }
    }

    fn handle_end(
        &mut self,
        exchange: &mut forward::Exchange,
        ended: Ended,
    ) -> Vec<forward::Action> {
        let (now, entropy) = (time::Instant::now(), rand::random());
        self.event_at = now;
        match ended {
            Ended::Attempt(attempt, end) => {
                let mut fleet = self.forwarding.fleet();
                let actions = exchange.attempt_ended(attempt, end, &mut fleet, entropy, now);
                self.forwarding.report_observations(&mut fleet);
                actions
            }
            Ended::Group(attempt, progress, guard) => {
                // The guard locks the fleet, so this comes first.
                let (answer, end) = self.keep_group(attempt, progress, guard);
                let mut fleet = self.forwarding.fleet();
                let mut actions = Vec::new();
                if let Some(answer) = answer {
                    if !answer.answered.is_empty() {
                        self.responded.store(true, atomic::Ordering::Relaxed);
                    }
                    let merged = exchange.group_answered(attempt, answer, &mut fleet, entropy, now);
                    actions.extend(merged);
                }
                if let Some(end) = end {
                    actions.extend(exchange.group_ended(attempt, end, &mut fleet, entropy, now));
                }
                actions
            }
        }
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
                actions.extend(self.handle_end(exchange, ended));
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

    fn execute(&mut self, exchange: &mut forward::Exchange, actions: Vec<forward::Action>) {
        let sends = actions.iter().any(|action| action.attempt().is_some());
        let actions = match !sends || self.forwarding.may_send(&self.request) {
            true => actions,
            false => self.bar(exchange, &actions),
        };
        for action in actions {
            match action {
                forward::Action::Send(send) => self.send(send),
                forward::Action::Delegate(delegation) => self.delegate(&delegation),
                forward::Action::WakeAt(at) => {
                    self.wake_at = at;
                    self.sleep.reset(at);
                }
                forward::Action::Report(answer) => self.reports.push_back(answer),
                forward::Action::Finish(end) => self.outcome = Some(end),
            }
        }
    }

    /// Sends none of the attempts and groups, and ends the request once nothing of it runs.
    fn bar(
        &self,
        exchange: &mut forward::Exchange,
        actions: &[forward::Action],
    ) -> Vec<forward::Action> {
        let cause = access::Cause::Expired.label();
        slog::info!(self.forwarding.process.logger, "attempts not sent";
            "request" => &self.request.id, "route" => &self.route.name, "cause" => cause);
        telemetry::Metrics::count(&self.forwarding.metrics.refusals, cause);
        for action in actions {
            // Dropping the guard gives back what was taken for the attempt.
            match action {
                forward::Action::Send(send) => drop(self.attempt_guard(send)),
                forward::Action::Delegate(delegation) => {
                    drop(self.group_guard(delegation.delegate));
                }
                _ => {}
            }
        }
        let unsent: Vec<_> = actions
            .iter()
            .filter_map(forward::Action::attempt)
            .collect();
        exchange.bar(&unsent, &self.forwarding.fleet(), time::Instant::now())
    }

    fn attempt_guard(&self, send: &forward::Send) -> node::attempt_guard::AttemptGuard {
        node::attempt_guard::AttemptGuard::new(
            sync::Arc::clone(&self.forwarding),
            sync::Arc::clone(&self.route),
            sync::Arc::clone(&self.message),
            send.clone(),
            sync::Arc::clone(&self.responded),
        )
    }

    fn group_guard(&self, delegate: net::SocketAddr) -> node::group_guard::GroupGuard {
        node::group_guard::GroupGuard::new(
            sync::Arc::clone(&self.forwarding),
            sync::Arc::clone(&self.route),
            delegate,
        )
    }

    fn send(&mut self, send: forward::Send) {
        use std::fmt::Write as _;
        let elapsed = self.received.elapsed().as_millis();
        // Writing to a string cannot fail.
        let _ = write!(self.send_log, "{}>{}@{elapsed} ", send.service, send.server);
        let mut guard = self.attempt_guard(&send);
        let sending = self
            .forwarding
            .client
            .send(send.clone(), sync::Arc::clone(&self.message));
        self.unwritten = true;
        let content = self.content;
        let attempt = async move {
            guard.begin();
            let (end, condition) = sending.await;
            guard.end(&end, &condition);
            end
        };
        self.attempts.push(match send.probe {
            true => {
                let forwarding = sync::Arc::clone(&self.forwarding);
                let probe = node::probe::run(forwarding, content, send.clone(), attempt);
                Box::pin(probe.map(move |end| Ended::Attempt(send.attempt, end)))
            }
            false => Box::pin(attempt.map(move |end| Ended::Attempt(send.attempt, end))),
        });
    }

    fn delegate(&mut self, delegation: &forward::Delegation) {
        use std::fmt::Write as _;
        let elapsed = self.received.elapsed().as_millis();
        let (delegate, shards) = (delegation.delegate, delegation.group.services.len());
        // Writing to a string cannot fail.
        let _ = write!(self.send_log, "{shards}_shards>{delegate}@{elapsed} ");
        let mut guard = self.group_guard(delegate);
        let timer = self.forwarding.process.timer.clone();
        let client = (self.forwarding.delegates.clone(), timer);
        let call = rim::GroupCall::new(client, delegation, &self.message);
        let (attempt, message) = (delegation.attempt, sync::Arc::clone(&self.message));
        self.unwritten = true;
        self.attempts.push(Box::pin(async move {
            guard.begin();
            let progress = call.send().await;
            guard.record(&progress, &message.id);
            Ended::Group(attempt, progress, guard)
        }));
    }

    /// Waits for further answers to a delegated group; returns the present one, and how the
    /// group ended.
    fn keep_group(
        &self,
        attempt: ids::AttemptId,
        progress: rim::GroupProgress,
        mut guard: node::group_guard::GroupGuard,
    ) -> (Option<forward::GroupAnswer>, Option<forward::GroupEnd>) {
        match progress {
            rim::GroupProgress::Answered(answer, call) => {
                let message = sync::Arc::clone(&self.message);
                self.attempts.push(Box::pin(async move {
                    let progress = call.next().await;
                    guard.record(&progress, &message.id);
                    Ended::Group(attempt, progress, guard)
                }));
                (Some(answer), None)
            }
            rim::GroupProgress::Ended(answer, end) => (answer, Some(end)),
        }
    }

    /// Records the outcome, and lets attempts go on for [`LATE_ATTEMPT_TIMEOUT`].
    ///
    /// This takes place in a task of its own, so that the answer is written first.
    fn finish(
        self,
        mut running: node::running_exchange::RunningExchange,
        outcome: &forward::Outcome,
    ) {
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
            let exchange = &mut running.exchange;
            self.end_caution(exchange);
            exchange.report_sub_requests(&mut self.forwarding.fleet(), time::Instant::now());
            self.log_outcome(exchange, label, (status, missing), elapsed);
            self.end_late(exchange).await;
        });
    }

    /// Records the last answer to a group, which lacks `missing` shards, like
    /// [`Self::finish`]; the VM that delegated the group records which services answered.
    pub(super) fn finish_group(
        self,
        mut running: node::running_exchange::RunningExchange,
        missing: usize,
    ) {
        let elapsed = self.received.elapsed();
        tokio::spawn(async move {
            let exchange = &mut running.exchange;
            self.end_caution(exchange);
            slog::info!(self.forwarding.process.logger, "group answered";
                "request" => &self.request.id, "route" => &self.route.name,
                "missing" => missing, "content" => self.content,
                "caution" => exchange.caution(), "elapsed_us" => node::forwarding::micros(elapsed),
                "retries" => exchange.retries(), "open" => ?exchange.pending_services(),
                "wake_lag_us" => node::forwarding::micros(self.wake_lag),
                "sends" => self.send_log.trim_end(), "view" => self.view.generation);
            self.end_late(exchange).await;
        });
    }

    /// Reports the crashes that the exchange has seen and not reported.
    fn end_caution(&self, exchange: &mut forward::Exchange) {
        let mut fleet = self.forwarding.fleet();
        exchange.end_caution(&mut fleet, time::Instant::now());
        self.forwarding.report_observations(&mut fleet);
    }

    /// Lets attempts go on for [`LATE_ATTEMPT_TIMEOUT`], and takes note of crashes.
    async fn end_late(mut self, exchange: &mut forward::Exchange) {
        if self.attempts.is_empty() {
            return;
        }
        let sleep = self.forwarding.process.timer.sleep(LATE_ATTEMPT_TIMEOUT);
        let ends = async {
            while let Some(ended) = self.attempts.next().await {
                match ended {
                    Ended::Attempt(attempt, end) => {
                        let mut fleet = self.forwarding.fleet();
                        let now = time::Instant::now();
                        exchange.attempt_ended_late(attempt, &end, &mut fleet, now);
                        self.forwarding.report_observations(&mut fleet);
                    }
                    Ended::Group(attempt, progress, guard) => {
                        self.keep_group(attempt, progress, guard);
                    }
                }
            }
        };
        tokio::select! {
            () = sleep => {}
            () = ends => {}
        }
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
        if exchange.is_refused_content() {
            telemetry::Metrics::count(&metrics.refusals, "content crashes servers");
        }
        let caller_timeout = request.timeout.map_or(0, |timeout| timeout.as_millis());
        let age = view.confirmed.map_or(0, |at| at.elapsed().as_millis());
        slog::info!(self.forwarding.process.logger, "request answered";
            "request" => &request.id, "route" => &self.route.name,
            "admission" => self.admission, "outcome" => label, "status" => status, "missing" => missing,
            "content" => self.content, "caution" => exchange.caution(),
            "elapsed_us" => node::forwarding::micros(elapsed), "hedges" => exchange.hedges(),
            "retries" => exchange.retries(), "open" => ?exchange.pending_services(),
            "caller_timeout_ms" => u64::try_from(caller_timeout).unwrap_or(u64::MAX),
            "refused_answers" => exchange.refused_answers(),
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
