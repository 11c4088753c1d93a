//! Requests under way on an entry VM.

use std::{
    sync::{self, atomic},
    time,
};

use tokio::task;

use crate::{control, fleet, forward, ids, node, telemetry};

/// Time for which attempts that lost a race go on, so that their connections
/// can be used again. A longer one is cut: its server is slow or silent.
const LINGER: time::Duration = time::Duration::from_millis(250);

/// Pause for a caller while this VM has no configuration.
const START_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Age of the last contact with a control VM beyond which requests are refused.
///
/// Serving on an old view keeps callers served while the control VMs are out
/// of reach; no promise about zones or leaving servers holds then.
const STALE_LIMIT: time::Duration = time::Duration::from_secs(120);

/// End of an attempt, with what the server told about its load.
type Ended = (ids::AttemptId, forward::AttemptEnd);

/// Drives exchanges: attempts, timers and the state that they share.
pub struct Forwarding {
    process: sync::Arc<node::Process>,
    fleet: sync::Mutex<fleet::Fleet>,
    link: sync::Arc<dyn node::Link>,
    metrics: telemetry::Metrics,
    running: atomic::AtomicUsize,
}

/// Reports an attempt as given up if it is dropped before its end.
struct Guard {
    forwarding: sync::Arc<Forwarding>,
    route: sync::Arc<crate::configuration::Route>,
    send: forward::Send,
    started: time::Instant,
    ended: bool,
}

/// Counts a running request.
struct Running<'a>(&'a atomic::AtomicUsize);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl Forwarding {
    /// A driver without requests.
    pub fn new(
        process: sync::Arc<node::Process>,
        fleet: fleet::Fleet,
        link: sync::Arc<dyn node::Link>,
    ) -> Self {
        Self {
            process,
            fleet: sync::Mutex::new(fleet),
            link,
            metrics: telemetry::Metrics::default(),
            running: atomic::AtomicUsize::new(0),
        }
    }

    /// Requests that are not answered yet.
    pub fn running(&self) -> usize {
        self.running.load(atomic::Ordering::Relaxed)
    }

    /// Metrics of this process.
    pub fn metrics(&self) -> &telemetry::Metrics {
        &self.metrics
    }

    /// Runs a request to its answer. Dropping the future stops all its attempts.
    pub async fn run(
        self: &sync::Arc<Self>,
        request: forward::Request,
        message: node::Message,
    ) -> forward::Verdict {
        self.running.fetch_add(1, atomic::Ordering::Relaxed);
        let _running = Running(&self.running);
        let received = time::Instant::now();
        let view = self.process.view.load_full();
        let Some(table) = &view.table else {
            return self.refuse(&request, "no configuration", received);
        };
        let age = view.confirmed.map(|confirmed| confirmed.elapsed());
        if age.is_none_or(|age| age > STALE_LIMIT) {
            return self.refuse(&request, "stale view", received);
        }
        let Some(route) = table.find(&request.host, &request.path) else {
            slog::info!(self.process.logger, "no route"; "request" => &request.id,
                "host" => &request.host, "path" => &request.path, "version" => table.version());
            return forward::Verdict::NoRoute;
        };
        let task = Task {
            forwarding: sync::Arc::clone(self),
            route: sync::Arc::clone(route),
            message: sync::Arc::new(message),
            attempts: task::JoinSet::new(),
            trail: String::new(),
            received,
        };
        let timing = forward::Timing::new(route, request.patience, received);
        let context = (view.as_ref(), &request);
        task.run(context, timing).await
    }

    fn refuse(
        &self,
        request: &forward::Request,
        cause: &'static str,
        received: time::Instant,
    ) -> forward::Verdict {
        slog::info!(self.process.logger, "request refused"; "request" => &request.id,
            "cause" => cause, "elapsed_us" => micros(received.elapsed()));
        telemetry::Metrics::count(&self.metrics.refusals, cause);
        forward::Verdict::Refused {
            retry_after: START_PAUSE,
        }
    }

    fn fleet(&self) -> sync::MutexGuard<'_, fleet::Fleet> {
        // Nothing under this lock leaves the state half changed.
        self.fleet
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Tells the control thread which servers turned out slow.
    fn tell_slow(&self, fleet: &mut fleet::Fleet) {
        for server in fleet.take_slow() {
            self.process.tell(control::Event::Slow(server));
        }
    }

    fn publish_suspended(&self, fleet: &fleet::Fleet) {
        let suspended = fleet.suspended();
        if **self.process.suspended.load() != suspended {
            slog::info!(self.process.logger, "backend servers suspended";
                "servers" => ?suspended);
            self.process.suspended.store(sync::Arc::new(suspended));
        }
    }
}

/// One request under way.
struct Task {
    forwarding: sync::Arc<Forwarding>,
    route: sync::Arc<crate::configuration::Route>,
    message: sync::Arc<node::Message>,
    attempts: task::JoinSet<Ended>,
    /// Service, backend server and time of each send, for the log.
    trail: String,
    received: time::Instant,
}

impl Task {
    async fn run(
        mut self,
        (view, request): (&fleet::View, &forward::Request),
        timing: forward::Timing,
    ) -> forward::Verdict {
        let forwarding = sync::Arc::clone(&self.forwarding);
        let timer = &forwarding.process.timer;
        let (mut exchange, actions) = self.start(view, timing);
        let mut sleep = timer.sleep_until(timing.deadline);
        let mut verdict = self.execute(actions, &mut sleep);
        while verdict.is_none() {
            let actions = tokio::select! {
                Some(ended) = self.attempts.join_next() => {
                    // A panic in an attempt harms that attempt only.
                    let Ok((attempt, end)) = ended else { continue };
                    let mut fleet = forwarding.fleet();
                    let now = time::Instant::now();
                    exchange.ended(attempt, end, &mut fleet, rand::random(), now)
                }
                () = &mut sleep => {
                    let mut fleet = forwarding.fleet();
                    let now = time::Instant::now();
                    let actions = exchange.wake(&mut fleet, rand::random(), now);
                    forwarding.tell_slow(&mut fleet);
                    actions
                }
            };
            verdict = self.execute(actions, &mut sleep);
        }
        let verdict = verdict.unwrap_or(forward::Verdict::Failed);
        exchange.note_parts(&mut forwarding.fleet(), time::Instant::now());
        self.report(&exchange, view, request, &verdict);
        self.linger();
        verdict
    }

    fn start(
        &mut self,
        view: &fleet::View,
        timing: forward::Timing,
    ) -> (forward::Exchange, Vec<forward::Action>) {
        let mut fleet = self.forwarding.fleet();
        let now = time::Instant::now();
        if fleet.follow(view, now) {
            self.forwarding.publish_suspended(&fleet);
        }
        let route = sync::Arc::clone(&self.route);
        forward::Exchange::start(route, timing, &mut fleet, rand::random(), now)
    }

    fn execute(
        &mut self,
        actions: Vec<forward::Action>,
        sleep: &mut crate::timer::Sleep,
    ) -> Option<forward::Verdict> {
        let mut verdict = None;
        for action in actions {
            match action {
                forward::Action::Send(send) => self.send(send),
                forward::Action::WakeAt(at) => sleep.reset(at),
                forward::Action::Finish(end) => verdict = Some(end),
            }
        }
        verdict
    }

    fn send(&mut self, send: forward::Send) {
        use std::fmt::Write as _;
        let elapsed = self.received.elapsed().as_millis();
        // Writing to a string cannot fail.
        let _ = write!(self.trail, "{}>{}@{elapsed} ", send.service, send.server);
        let guard = Guard {
            forwarding: sync::Arc::clone(&self.forwarding),
            route: sync::Arc::clone(&self.route),
            send: send.clone(),
            started: time::Instant::now(),
            ended: false,
        };
        let sending = self
            .forwarding
            .link
            .send(send.clone(), sync::Arc::clone(&self.message));
        self.attempts.spawn(async move {
            let (end, load) = sending.await;
            guard.end(&end, load);
            (send.attempt, end)
        });
    }

    fn report(
        &self,
        exchange: &forward::Exchange,
        view: &fleet::View,
        request: &forward::Request,
        verdict: &forward::Verdict,
    ) {
        let elapsed = self.received.elapsed();
        let metrics = &self.forwarding.metrics;
        telemetry::Metrics::count(&metrics.outcomes, verdict.label());
        metrics.observe(&self.route.name, elapsed);
        let missing = match verdict {
            forward::Verdict::Gathered { missing, .. } => *missing,
            _ => 0,
        };
        let status = match verdict {
            forward::Verdict::Passed(answer) => answer.status,
            _ => 0,
        };
        let age = view.confirmed.map_or(0, |at| at.elapsed().as_millis());
        slog::info!(self.forwarding.process.logger, "request answered";
            "request" => &request.id, "route" => &self.route.name,
            "outcome" => verdict.label(), "status" => status, "missing" => missing,
            "elapsed_us" => micros(elapsed), "hedges" => exchange.hedges(),
            "retries" => exchange.retries(), "open" => ?exchange.open_services(),
            "sends" => self.trail.trim_end(),
            "view" => view.generation, "view_age_ms" => u64::try_from(age).unwrap_or(u64::MAX));
    }

    /// Lets attempts go on for a moment after the answer.
    fn linger(mut self) {
        if self.attempts.is_empty() {
            return;
        }
        tokio::spawn(async move {
            let sleep = self.forwarding.process.timer.sleep(LINGER);
            tokio::select! {
                () = sleep => {}
                () = async { while self.attempts.join_next().await.is_some() {} } => {}
            }
        });
    }
}

impl Guard {
    fn end(mut self, end: &forward::AttemptEnd, load: Option<crate::backend::Load>) {
        self.ended = true;
        let elapsed = self.started.elapsed();
        let result = match end {
            forward::AttemptEnd::Answered(answer) if answer.status < 500 => {
                fleet::AttemptResult::Answered { elapsed }
            }
            forward::AttemptEnd::Answered(_) | forward::AttemptEnd::Broken => {
                fleet::AttemptResult::Failed
            }
            forward::AttemptEnd::Rejected => fleet::AttemptResult::Rejected,
            forward::AttemptEnd::WrongServer | forward::AttemptEnd::Unreachable => {
                fleet::AttemptResult::Unreachable
            }
            forward::AttemptEnd::TimedOut => fleet::AttemptResult::Abandoned { elapsed },
        };
        self.note(result, load);
        let failed = matches!(
            result,
            fleet::AttemptResult::Failed | fleet::AttemptResult::Unreachable
        );
        if failed {
            self.forwarding.publish_suspended(&self.forwarding.fleet());
            slog::info!(self.forwarding.process.logger, "attempt failed";
                "server" => &self.send.server, "service" => &self.send.service,
                "result" => ?result, "elapsed_us" => micros(elapsed));
        }
    }

    fn note(&self, result: fleet::AttemptResult, load: Option<crate::backend::Load>) {
        let mut fleet = self.forwarding.fleet();
        let now = time::Instant::now();
        let place = (self.send.service.as_str(), self.send.server.as_str());
        fleet.note_end(place, self.send.token, &self.route, result, now);
        if let Some(load) = load {
            fleet.note_load(place, load, now);
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.ended {
            let elapsed = self.started.elapsed();
            self.note(fleet::AttemptResult::Abandoned { elapsed }, None);
        }
    }
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
