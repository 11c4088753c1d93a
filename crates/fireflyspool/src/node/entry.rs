//! An entry VM.

use std::{
    sync::{self, atomic},
    time,
};

use crate::{configuration, control, fleet, follow, forward, hub, node, telemetry};

/// Time before the end of the grace in which a leaving process must be gone.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(700);

/// Share of the grace in which new requests are still taken.
const ACCEPT_SHARE: f64 = 0.5;

/// Pause between two looks whether running requests are over.
const DRAIN_STEP: time::Duration = time::Duration::from_millis(50);

/// Handle of an entry VM for its front ends.
pub struct Entry {
    process: sync::Arc<node::Process>,
    forwarding: sync::Arc<node::Forwarding>,
    grace: time::Duration,
    leaving: atomic::AtomicBool,
    dropped: telemetry::DroppedLines,
}

impl Entry {
    /// Starts the control thread.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started or the settings name no control VM.
    pub fn start(
        settings: node::EntrySettings,
        format: sync::Arc<dyn configuration::Format>,
        link: sync::Arc<dyn node::Link>,
        (logger, dropped): (slog::Logger, telemetry::DroppedLines),
    ) -> anyhow::Result<sync::Arc<Self>> {
        let (process, receiver) = node::Process::start(logger.clone())?;
        let incarnation = process.incarnation;
        let runtime = tokio::runtime::Handle::current();
        let outlet = node::MeshOutlet::new(sync::Arc::clone(&process), runtime, settings.callers);
        let member = hub::Member {
            callers: settings.callers,
            zone: settings.zone.clone(),
            region: settings.region,
            incarnation,
            ready: false,
        };
        let now = time::Instant::now();
        let follower = follow::Follower::new(member, format, settings.contacts, now)
            .ok_or_else(|| anyhow::anyhow!("the settings name no control VM"))?;
        let follow = control::FollowerDriver::new(follower, logger.clone());
        control::ControlThread::new(outlet, receiver, None, None, Vec::new(), logger)
            .with_follower(follow)
            .start(drop)?;
        let fleet = fleet::Fleet::new(settings.zone, incarnation, settings.limits);
        let forwarding = node::Forwarding::new(sync::Arc::clone(&process), fleet, link);
        Ok(sync::Arc::new(Self {
            process,
            forwarding: sync::Arc::new(forwarding),
            grace: settings.grace,
            leaving: atomic::AtomicBool::new(false),
            dropped,
        }))
    }

    /// What the parts of this process share.
    pub fn process(&self) -> &sync::Arc<node::Process> {
        &self.process
    }

    /// Metrics of this process in the OpenMetrics text format.
    pub fn metrics(&self) -> String {
        let metrics = self.forwarding.metrics();
        let dropped = self.dropped.load(atomic::Ordering::Relaxed);
        metrics
            .dropped_lines
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
        let view = self.process.view.load();
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let version = view.table.as_ref().map_or(0, |table| table.version());
        metrics.set_state("configuration", i64::try_from(version).unwrap_or(i64::MAX));
        metrics.set_state("backend_servers", count(view.servers.len()));
        metrics.set_state("entry_members", count(view.members));
        metrics.set_state("running_requests", count(self.forwarding.running()));
        metrics.set_state(
            "suspended_servers",
            count(self.process.suspended.load().len()),
        );
        metrics.set_state("outlier_servers", count(view.outliers.len()));
        metrics.encode()
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.process.view.load().table.is_some()
    }

    /// Whether the process was told to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Relaxed)
    }

    /// Limits on what callers may send.
    pub fn limits(&self) -> configuration::CallerLimits {
        let view = self.process.view.load();
        let table = view.table.as_ref();
        table.map_or_else(configuration::CallerLimits::default, |table| {
            table.limits().clone()
        })
    }

    /// Runs a request to its answer.
    pub async fn serve(
        &self,
        request: forward::Request,
        message: node::Message,
    ) -> forward::Outcome {
        self.forwarding.run(request, message).await
    }

    /// Leaves the answers to callers, and returns when new requests are to be refused.
    ///
    /// Callers that still hold an old answer are served meanwhile.
    pub async fn announce_leaving(&self) {
        self.leaving.store(true, atomic::Ordering::Relaxed);
        self.process.tell(control::Event::Leave);
        slog::info!(self.process.logger, "leaving");
        self.process
            .timer
            .sleep(self.grace.mul_f64(ACCEPT_SHARE))
            .await;
    }

    /// Waits for running requests, as long as the grace allows; returns how many are cut.
    pub async fn finish(&self) -> usize {
        let left = self.grace.mul_f64(1.0 - ACCEPT_SHARE);
        let limit = time::Instant::now() + left.saturating_sub(EXIT_MARGIN);
        while self.forwarding.running() > 0 && time::Instant::now() < limit {
            self.process.timer.sleep(DRAIN_STEP).await;
        }
        self.forwarding.running()
    }
}
