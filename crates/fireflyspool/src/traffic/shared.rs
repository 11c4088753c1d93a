//! Handles that all traffic tasks of a process share.

use std::{net, sync, time};

use crate::{control, dispatch, gather, ids, outcome, peak, settings, telemetry, timer, view};

/// Handles that traffic tasks use; mutable state behind them is owned elsewhere,
/// swapped atomically or, for the budgets, under a lock.
pub struct Shared {
    /// Id of this VM.
    pub node: ids::NodeId,
    /// Incarnation of this process.
    pub incarnation: ids::Incarnation,
    /// Settings of this process.
    pub settings: settings::Settings,
    /// Latest published view.
    pub view: arc_swap::ArcSwap<view::View>,
    /// Timer service.
    pub timer: timer::TimerService,
    /// Mailbox of the control thread.
    pub mailbox: control::Mailbox,
    /// Metrics of this process.
    pub metrics: telemetry::Metrics,
    /// Logger of this process.
    pub logger: slog::Logger,
    /// Count of log lines that were dropped.
    pub dropped_lines: telemetry::DroppedLines,
    control: arc_swap::ArcSwap<Vec<(ids::NodeId, net::SocketAddr)>>,
    budgets: sync::Mutex<gather::Budgets>,
}

impl Shared {
    /// Creates the handles with an empty view.
    pub fn new(
        settings: settings::Settings,
        incarnation: ids::Incarnation,
        timer: timer::TimerService,
        mailbox: control::Mailbox,
        logger: slog::Logger,
        dropped_lines: telemetry::DroppedLines,
    ) -> Self {
        let node = settings.node;
        let control = settings
            .control
            .iter()
            .map(|peer| (peer.node, peer.rpc))
            .collect();
        let peak = peak::PeakMeter::new(time::SystemTime::now(), time::Instant::now());
        Self {
            node,
            incarnation,
            settings,
            view: arc_swap::ArcSwap::from_pointee(view::View::empty(node)),
            timer,
            mailbox,
            metrics: telemetry::Metrics::default(),
            logger,
            dropped_lines,
            control: arc_swap::ArcSwap::from_pointee(control),
            budgets: sync::Mutex::new(gather::Budgets::new(incarnation, peak)),
        }
    }

    /// Locks the budgets that all queries of this VM share; hold it for microseconds only.
    pub fn budgets(&self) -> sync::MutexGuard<'_, gather::Budgets> {
        self.budgets
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Addresses of the control VMs.
    pub fn control_addresses(&self) -> Vec<(ids::NodeId, net::SocketAddr)> {
        self.control.load().as_ref().clone()
    }

    /// Replaces the addresses of the control VMs.
    pub fn set_control_addresses(&self, addresses: Vec<(ids::NodeId, net::SocketAddr)>) {
        self.control.store(sync::Arc::new(addresses));
    }

    /// Logs the outcome of a request.
    pub fn log_outcome(
        &self,
        kind: outcome::Kind,
        outcome: &outcome::Outcome,
        elapsed: time::Duration,
    ) {
        let elapsed = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let (request, detail) = match outcome {
            outcome::Outcome::Complete(answer) | outcome::Outcome::Partial(answer) => {
                let covered = answer.coverage.covered.len();
                let total = answer.coverage.total();
                let version = answer.snapshot.version;
                (
                    &answer.request,
                    format!("version {version}, {covered} of {total} shards"),
                )
            }
            outcome::Outcome::NotRun(refusal) => (
                &refusal.request,
                format!("{}: {}", refusal.reason.name(), refusal.detail),
            ),
            outcome::Outcome::Submitted { request, receipt }
            | outcome::Outcome::Known { request, receipt } => (request, receipt.clone()),
            outcome::Outcome::Unknown { request, detail } => (request, detail.clone()),
        };
        slog::info!(self.logger, "outcome";
            "request" => request,
            "kind" => kind.name(),
            "outcome" => outcome.name(),
            "detail" => detail,
            "elapsed_us" => elapsed);
    }

    /// A random number for decision code.
    pub fn entropy(&self) -> u64 {
        rand::random()
    }

    /// Sends an event to the control thread; if its queue is full, drops and logs it.
    pub fn tell_control(&self, event: control::Event) {
        if self.mailbox.send(event).is_err() {
            slog::warn!(
                self.logger,
                "event for the control thread dropped: its queue is full or closed"
            );
        }
    }

    /// Whether the lease is valid now.
    pub fn may_act(&self) -> bool {
        self.view.load().may_act(time::Instant::now())
    }

    /// Logs a placement decision of an owner, if enabled in the settings.
    pub fn log_placement(&self, decision: &dispatch::Decision) {
        if !self.settings.log_placements {
            return;
        }
        slog::info!(self.logger, "placement";
            "request" => &decision.request,
            "collection" => decision.snapshot.as_ref().map(|snapshot| snapshot.collection.as_str()),
            "version" => decision.snapshot.as_ref().map(|snapshot| snapshot.version),
            "shard" => decision.shard,
            "server" => decision.server.as_deref(),
            "attempt" => decision.attempt,
            "reason" => ?decision.reason,
            "waited_us" => u64::try_from(decision.waited.as_micros()).unwrap_or(u64::MAX),
            "passed_over" => ?decision.passed_over,
        );
    }

    /// Logs a routing decision of a coordinator, if enabled in the settings.
    pub fn log_routing(&self, decision: &gather::Decision) {
        if !self.settings.log_placements {
            return;
        }
        slog::info!(self.logger, "routing";
            "request" => &decision.request,
            "collection" => &decision.snapshot.collection,
            "version" => decision.snapshot.version,
            "shard" => decision.shard,
            "owner" => decision.owner,
            "reason" => ?decision.reason,
            "passed_over" => ?decision.passed_over,
        );
    }
}
