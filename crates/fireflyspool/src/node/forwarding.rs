//! Requests under way on an entry VM.

use std::{
    sync::{self, atomic},
    time,
};

use crate::{control, fleet, forward, node, telemetry};

/// Pause for a caller while this VM has no configuration.
const START_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Age of the last contact with a control VM beyond which requests are refused.
///
/// Serving on an old view keeps callers served while the control VMs are out
/// of reach; no promise about zones or leaving servers holds then.
const STALE_LIMIT: time::Duration = time::Duration::from_secs(120);

/// Drives exchanges: attempts, timers and the state that they share.
pub struct Forwarding {
    pub(super) process: sync::Arc<node::Process>,
    fleet: sync::Mutex<fleet::Fleet>,
    pub(super) link: sync::Arc<dyn node::Link>,
    pub(super) metrics: telemetry::Metrics,
    running: atomic::AtomicUsize,
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
    ) -> forward::Outcome {
        let _running = node::running::Running::new(&self.running);
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
            return forward::Outcome::NoRoute;
        };
        let route = sync::Arc::clone(route);
        let forwarding = sync::Arc::clone(self);
        let timing = forward::Timing::new(&route, request.timeout, received);
        let task = node::forward_task::ForwardTask::new(forwarding, route, message, received);
        let context = (view.as_ref(), &request);
        task.run(context, timing).await
    }

    fn refuse(
        &self,
        request: &forward::Request,
        cause: &'static str,
        received: time::Instant,
    ) -> forward::Outcome {
        slog::info!(self.process.logger, "request refused"; "request" => &request.id,
            "cause" => cause, "elapsed_us" => micros(received.elapsed()));
        telemetry::Metrics::count(&self.metrics.refusals, cause);
        forward::Outcome::Refused {
            retry_after: START_PAUSE,
        }
    }

    pub(super) fn fleet(&self) -> sync::MutexGuard<'_, fleet::Fleet> {
        // Nothing under this lock leaves the state half changed.
        self.fleet
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Tells the control thread what attempts showed.
    pub(super) fn report_observations(&self, fleet: &mut fleet::Fleet) {
        for observation in fleet.take_observations() {
            self.process.tell(control::Event::Observed(observation));
        }
    }

    pub(super) fn publish_suspended(&self, fleet: &fleet::Fleet) {
        let suspended = fleet.suspended();
        if **self.process.suspended.load() != suspended {
            slog::info!(self.process.logger, "backend servers suspended";
                "servers" => ?suspended);
            self.process.suspended.store(sync::Arc::new(suspended));
        }
    }
}

/// Whole microseconds, for logs.
pub(super) fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
