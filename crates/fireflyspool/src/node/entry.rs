//! Process of an entry VM.

use std::{
    sync::{self, atomic},
    time,
};

use crate::{
    configuration, control, fleet, follow, forward, hub, node, shutdown, telemetry, timer,
};

/// Reserve at the end of the grace period for the exit of the process.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(700);

/// Share of the grace period in which new requests are still accepted.
const ACCEPT_SHARE: f64 = 0.5;

/// Interval of the checks whether requests are still running.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Interface of an entry VM for its front ends.
pub struct Entry {
    process: sync::Arc<node::Process>,
    forwarding: sync::Arc<node::Forwarding>,
    quotas: sync::Arc<node::QuotaClient>,
    grace: time::Duration,
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
        client: sync::Arc<dyn node::BackendClient>,
        (logger, dropped): (slog::Logger, telemetry::DroppedLines),
    ) -> anyhow::Result<sync::Arc<Self>> {
        let (process, receiver) = node::Process::start(logger.clone())?;
        let incarnation = process.incarnation;
        let runtime = tokio::runtime::Handle::current();
        let outlet = node::RpcOutlet::new(sync::Arc::clone(&process), runtime, settings.callers);
        let member = hub::Member {
            callers: settings.callers,
            listener: Some(settings.listener),
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
        let fleet = fleet::Fleet::new(settings.zone, incarnation, settings.limits)
            .with_rollouts(settings.rollouts);
        let quotas = node::QuotaClient::start(sync::Arc::clone(&process));
        let forwarding = node::Forwarding::new(sync::Arc::clone(&process), fleet, client)
            .with_quotas(sync::Arc::clone(&quotas));
        let forwarding = sync::Arc::new(
            forwarding
                .with_account_limits(&settings.accounts)
                .with_ranking(settings.ranked),
        );
        let opening = node::first_connections::open(sync::Arc::clone(&forwarding));
        tokio::spawn(opening);
        tokio::spawn(node::server_checks::run(sync::Arc::clone(&forwarding)));
        Ok(sync::Arc::new(Self {
            process,
            forwarding,
            quotas,
            grace: settings.grace,
            dropped,
        }))
    }

    /// State and handles that the threads of this process share.
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
        metrics.set_state("waiting_for_tokens", count(self.quotas.waiting()));
        metrics.set_state(
            "rollouts_in_progress",
            count(view.rollouts.in_service().count()),
        );
        metrics.set_state("suspect_contents", count(view.contents.len()));
        let age = view
            .authority
            .map(|authority| timer::boot_time().saturating_sub(authority));
        let age_ms = age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        metrics.set_state("view_authority_ms", age_ms);
        metrics.encode()
    }

    /// Whether callers may be directed here: it has a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.process.view.load().table.is_some()
    }

    /// Whether the process was told to stop.
    pub fn is_draining(&self) -> bool {
        self.forwarding.drain().is_leaving()
    }

    /// Limits on what callers may send; the default until there is a configuration.
    pub fn limits(&self) -> configuration::CallerLimits {
        let view = self.process.view.load();
        let table = view.table.as_ref();
        table.map_or_else(configuration::CallerLimits::default, |table| {
            table.limits().clone()
        })
    }

    /// Forwards a request to backend servers and returns the answer to the caller.
    pub async fn serve(
        &self,
        request: forward::Request,
        message: node::Message,
    ) -> forward::Outcome {
        self.forwarding.run(request, message).await
    }

    /// Starts to gather a group of shards for another entry VM; `None` if it is refused.
    pub fn gather(
        &self,
        group: &forward::Group,
        message: node::Message,
    ) -> Option<node::GroupTask> {
        self.forwarding.gather(group, message)
    }

    /// Withdraws this VM from the directory, and returns when new requests are refused.
    ///
    /// Callers that still hold its address are served meanwhile.
    pub async fn start_drain(&self) {
        let accepting = self.grace.mul_f64(ACCEPT_SHARE);
        let now = time::Instant::now();
        self.forwarding
            .update_drain(|drain| drain.announce(accepting, time::Duration::ZERO, now));
        self.process.send_event(control::Event::Leave);
        slog::info!(self.process.logger, "leaving");
        self.process.timer.sleep_until(now + accepting).await;
        self.advance_drain();
    }

    /// Waits until no request is running; those that still run shortly before the end of the
    /// grace period are answered with what they have. Returns how many are cut short.
    pub async fn finish_drain(&self) -> usize {
        loop {
            if let shutdown::AnyDrain::Closed(drain) = self.advance_drain() {
                return drain.aborted();
            }
            self.process.timer.sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    fn advance_drain(&self) -> shutdown::AnyDrain {
        let (running, now) = (self.forwarding.running(), time::Instant::now());
        let left = self.grace.mul_f64(1.0 - ACCEPT_SHARE);
        let left = left.saturating_sub(EXIT_MARGIN);
        self.forwarding
            .update_drain(|drain| drain.advance(running, left, now))
    }
}
