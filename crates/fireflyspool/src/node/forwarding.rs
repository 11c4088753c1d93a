//! Forwarding of requests on an entry VM.

use std::{
    sync::{self, atomic},
    time,
};

use tokio::sync::watch;

use crate::{access, control, fleet, forward, node, quota, rim, shutdown, telemetry, timer};

/// Time after which a caller may try again that is refused because the view is too old.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

/// Age of the last contact with a control VM beyond which requests are refused.
///
/// Until then an old view keeps callers served while the control VMs are
/// unreachable, but zones taken out and servers that leave may go unnoticed.
const MAX_VIEW_AGE: time::Duration = time::Duration::from_secs(120);

/// State that all requests share: the fleet, the client and the metrics.
pub struct Forwarding {
    pub(super) process: sync::Arc<node::Process>,
    fleet: sync::Mutex<fleet::Fleet>,
    admission: sync::Mutex<node::admission_gate::AdmissionGate>,
    pub(super) client: sync::Arc<dyn node::BackendClient>,
    /// Connections to the entry VMs to which groups are delegated.
    pub(super) delegates: rim::ForwardClient,
    /// Tokens for the requests of accounts with a quota; `None` if quotas do not apply.
    quotas: Option<sync::Arc<node::QuotaClient>>,
    pub(super) metrics: telemetry::Metrics,
    pub(super) answer_delay: node::answer_delay::AnswerDelay,
    /// Notified when the first server is watched, and when a check is to be made at once.
    pub(super) watch_changed: tokio::sync::Notify,
    running: sync::Arc<atomic::AtomicUsize>,
    drain: watch::Sender<shutdown::AnyDrain>,
    /// Time within which a withdrawn key stops working; `None` if there is no bound.
    revocation: Option<time::Duration>,
    /// Whether requests are admitted by kind during a shortage of capacity.
    pub(super) ranked: bool,
    started: time::Instant,
}

impl Forwarding {
    /// Creates the state with no running requests.
    pub fn new(
        process: sync::Arc<node::Process>,
        fleet: fleet::Fleet,
        client: sync::Arc<dyn node::BackendClient>,
    ) -> Self {
        let delegates = rim::ForwardClient::new(process.timer.clone());
        Self {
            process,
            fleet: sync::Mutex::new(fleet),
            admission: sync::Mutex::default(),
            client,
            delegates,
            quotas: None,
            metrics: telemetry::Metrics::default(),
            answer_delay: node::answer_delay::AnswerDelay::default(),
            watch_changed: tokio::sync::Notify::new(),
            running: sync::Arc::default(),
            drain: watch::Sender::new(shutdown::AnyDrain::default()),
            revocation: None,
            ranked: false,
            started: time::Instant::now(),
        }
    }

    /// Admits requests by kind during a shortage of capacity.
    #[must_use]
    pub fn with_ranking(mut self, ranked: bool) -> Self {
        self.ranked = ranked;
        self
    }

    /// Sets the bounds on client accounts.
    #[must_use]
    pub fn with_account_limits(mut self, limits: &node::AccountLimits) -> Self {
        self.revocation = limits.revocation;
        self
    }

    /// Has requests of accounts with a quota take a token first.
    #[must_use]
    pub fn with_quotas(mut self, quotas: sync::Arc<node::QuotaClient>) -> Self {
        self.quotas = Some(quotas);
        self
    }

    /// Number of requests that are not answered yet.
    pub fn running(&self) -> usize {
        self.running.load(atomic::Ordering::Relaxed)
    }

    /// Phase of the shutdown.
    pub(super) fn drain(&self) -> shutdown::AnyDrain {
        *self.drain.borrow()
    }

    /// Watches the phase of the shutdown.
    pub(super) fn watch_drain(&self) -> watch::Receiver<shutdown::AnyDrain> {
        self.drain.subscribe()
    }

    /// Moves the shutdown to another phase, and returns it.
    pub fn update_drain(
        &self,
        update: impl FnOnce(shutdown::AnyDrain) -> shutdown::AnyDrain,
    ) -> shutdown::AnyDrain {
        self.drain.send_if_modified(|drain| {
            let next = update(*drain);
            let modified = next != *drain;
            *drain = next;
            modified
        });
        self.drain()
    }

    /// Metrics of this process.
    pub fn metrics(&self) -> &telemetry::Metrics {
        &self.metrics
    }

    /// Forwards a request and returns the answer to the caller.
    ///
    /// Dropping the future stops all its attempts.
    pub async fn run(
        self: &sync::Arc<Self>,
        mut request: forward::Request,
        mut message: node::Message,
    ) -> forward::Outcome {
        let _running = node::running_guard::RunningGuard::new(&self.running);
        let received = time::Instant::now();
        if !self.drain().accepts() {
            // Other entry VMs can serve it at once.
            return self.refuse(&request, "stopping", time::Duration::ZERO, received);
        }
        let view = self.process.view.load_full();
        let Some(table) = &view.table else {
            let uptime = received.saturating_duration_since(self.started);
            let retry_after = forward::retry_after_start(uptime, rand::random());
            return self.refuse(&request, "no configuration", retry_after, received);
        };
        if is_stale(&view) {
            return self.refuse(&request, "stale view", RETRY_AFTER, received);
        }
        let Some(route) = table.find(&request.host, &request.path) else {
            slog::info!(self.process.logger, "no route"; "request" => &request.id,
                "host" => &request.host, "path" => &request.path, "version" => table.version());
            return forward::Outcome::NoRoute;
        };
        let route = sync::Arc::clone(route);
        let accounts = table.accounts();
        let freshness = self.freshness(&view);
        match access::authorize(&route, accounts, &request.credentials, freshness) {
            access::Decision::NotNeeded => {}
            access::Decision::Allowed(grant) => request.grant = Some(grant),
            access::Decision::Unsure(cause) => {
                return self.refuse(&request, cause.label(), RETRY_AFTER, received);
            }
            access::Decision::Unauthorized(cause) => return self.deny(&request, cause, received),
        }
        if !accounts.is_empty() {
            let account = request.account().map(sync::Arc::as_ref);
            self.client.identify(&mut message.headers, account);
            if let (Some(account), Some(quotas)) = (account, &self.quotas)
                && let Err(denial) = quotas.take(account, route.objective).await
            {
                return self.limit(&request, denial, received);
            }
        }
        let forwarding = sync::Arc::clone(self);
        let content = (request, message);
        let task = node::forward_task::ForwardTask::new(
            forwarding,
            sync::Arc::clone(&view),
            content,
            route,
            received,
        );
        task.run().await
    }

    /// Starts to gather a group of shards for another entry VM; `None` if it is refused.
    pub fn gather(
        self: &sync::Arc<Self>,
        group: &forward::Group,
        message: node::Message,
    ) -> Option<node::GroupTask> {
        let running = node::running_guard::RunningGuard::new(&self.running);
        let received = time::Instant::now();
        let request = forward::Request::of_group(&message.id, group, received);
        let view = self.process.view.load_full();
        let cause = match self.drain().accepts() {
            false => Some("stopping"),
            true => is_stale(&view).then_some("stale view"),
        };
        if let Some(cause) = cause {
            self.refuse(&request, cause, time::Duration::ZERO, received);
            return None;
        }
        let route = sync::Arc::new(group.route());
        let forwarding = sync::Arc::clone(self);
        let content = (request, message);
        let task = node::forward_task::ForwardTask::new(forwarding, view, content, route, received);
        Some(node::GroupTask::start(task, group, running))
    }

    /// Freshness of a view with respect to keys, now.
    fn freshness(&self, view: &fleet::View) -> access::Freshness {
        access::Freshness::new(view.authority, self.revocation, timer::boot_time())
    }

    fn deny(
        &self,
        request: &forward::Request,
        cause: access::Cause,
        received: time::Instant,
    ) -> forward::Outcome {
        slog::info!(self.process.logger, "request unauthorized"; "request" => &request.id,
            "cause" => cause.label(), "elapsed_us" => micros(received.elapsed()));
        telemetry::Metrics::count(&self.metrics.refusals, cause.label());
        forward::Outcome::Unauthorized
    }

    fn limit(
        &self,
        request: &forward::Request,
        denial: quota::Denial,
        received: time::Instant,
    ) -> forward::Outcome {
        match denial {
            quota::Denial::Unavailable { retry_after } => {
                self.refuse(request, denial.label(), retry_after, received)
            }
            quota::Denial::Exhausted { retry_after } => {
                slog::info!(self.process.logger, "request over its quota";
                    "request" => &request.id, "cause" => denial.label(),
                    "account" => request.account().map(|account| account.name.as_str()),
                    "elapsed_us" => micros(received.elapsed()));
                telemetry::Metrics::count(&self.metrics.refusals, denial.label());
                forward::Outcome::Limited { retry_after }
            }
        }
    }

    /// Whether attempts of a request may still be sent, by the newest view.
    pub(super) fn may_send(&self, request: &forward::Request) -> bool {
        let Some(grant) = &request.grant else {
            return true;
        };
        let view = self.process.view.load();
        let freshness = access::Freshness::new(view.authority, self.revocation, timer::boot_time());
        let table = view.table.as_ref();
        table.is_some_and(|table| grant.holds(table.accounts(), freshness))
    }

    fn refuse(
        &self,
        request: &forward::Request,
        cause: &'static str,
        retry_after: time::Duration,
        received: time::Instant,
    ) -> forward::Outcome {
        slog::info!(self.process.logger, "request refused"; "request" => &request.id,
            "cause" => cause, "elapsed_us" => micros(received.elapsed()));
        telemetry::Metrics::count(&self.metrics.refusals, cause);
        forward::Outcome::Refused { retry_after }
    }

    /// The fleet with a view applied.
    pub(super) fn updated_fleet(&self, view: &fleet::View) -> sync::MutexGuard<'_, fleet::Fleet> {
        let mut fleet = self.fleet();
        if fleet.update(view, time::Instant::now()) {
            self.report_observations(&mut fleet);
            self.publish_suspended(&fleet);
        }
        fleet
    }

    pub(super) fn fleet(&self) -> sync::MutexGuard<'_, fleet::Fleet> {
        // A panic under this lock leaves no change half done, so the fleet is usable
        // after one.
        self.fleet
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Admission of requests; it is never locked together with the fleet.
    pub(super) fn admission(&self) -> sync::MutexGuard<'_, node::admission_gate::AdmissionGate> {
        // As with the fleet, a panic leaves no change half done.
        self.admission
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Passes the observations of attempts to the control thread.
    pub(super) fn report_observations(&self, fleet: &mut fleet::Fleet) {
        for observation in fleet.take_observations() {
            self.process
                .send_event(control::Event::Observed(observation));
        }
        for attempt in fleet.take_unseen_crashes() {
            telemetry::Metrics::count(&self.metrics.unseen_crashes, &attempt.service);
            slog::warn!(self.process.logger, "backend server crashed after an attempt was given up";
                "request" => &attempt.request, "server" => &attempt.server,
                "service" => &attempt.service, "born" => attempt.born,
                "content" => attempt.content, "probe" => attempt.probe);
        }
        for service in fleet.take_withheld() {
            telemetry::Metrics::count(&self.metrics.connections_withheld, &service);
        }
        let samples = fleet.take_samples();
        if !samples.is_empty() {
            self.process.send_event(control::Event::Counted(samples));
        }
    }

    /// Publishes the suspended backend servers to the control thread if they changed.
    pub(super) fn publish_suspended(&self, fleet: &fleet::Fleet) {
        let suspended = fleet.suspended();
        let former = self.process.suspended.load();
        if **former == suspended {
            return;
        }
        let added = suspended.iter().filter(|name| !former.contains(name));
        let returned = former.iter().filter(|name| !suspended.contains(name));
        slog::info!(self.process.logger, "suspended backend servers changed";
            "suspended" => ?added.collect::<Vec<_>>(), "returned" => ?returned.collect::<Vec<_>>(),
            "total" => suspended.len());
        self.process.suspended.store(sync::Arc::new(suspended));
    }
}

/// Whether no control VM has confirmed a view for too long.
fn is_stale(view: &fleet::View) -> bool {
    let age = view.confirmed.map(|confirmed| confirmed.elapsed());
    age.is_none_or(|age| age > MAX_VIEW_AGE)
}

/// Whole microseconds, for log lines.
pub(super) fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
