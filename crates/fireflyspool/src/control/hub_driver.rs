//! The hub of a control VM on the control thread.

use std::{net, sync, time};

use tokio::sync::oneshot;

use crate::{configuration, control, hub, ids, registry, rollout, sorted};

/// Longest time between two ticks, so that joins and replacements are checked regularly.
const MAX_SLEEP: time::Duration = time::Duration::from_secs(1);

struct PendingReport {
    /// Zone of the backend server; empty if it deregisters.
    zone: ids::ZoneName,
    reply: oneshot::Sender<net::SocketAddr>,
}

/// Drives the hub and keeps this VM a member of the control group.
pub struct HubDriver {
    pub(super) hub: hub::Hub,
    pub(super) own: hub::HubInfo,
    pub(super) next_ticket: ids::Ticket,
    pending_reports: sorted::SortedMap<ids::Ticket, PendingReport>,
    pub(super) pending_polls: sorted::SortedMap<ids::Ticket, oneshot::Sender<hub::FollowReply>>,
    pub(super) contacts: Vec<net::SocketAddr>,
    pub(super) join: control::JoinRequests,
    /// Leader that the last reply to a command for the log named.
    pub(super) leader: Option<net::SocketAddr>,
    /// Number of commands that were sent without knowing the leader.
    pub(super) asked: usize,
    /// Whether this VM was told to stop.
    pub(super) stopping: bool,
    /// Version of the configuration that was passed to the hub last.
    pub(super) version: ids::ConfigVersion,
    /// Addresses of the control group as last published.
    pub(super) group: Vec<(ids::NodeId, net::SocketAddr)>,
    /// Listeners of the reachable control VMs as last logged.
    pub(super) reachable: Vec<net::SocketAddr>,
    pub(super) retired: bool,
    /// Whether the hub had recovered as last logged.
    recovered: bool,
    /// Tokens of client accounts; `None` if this VM grants none.
    quotas: Option<control::QuotaDriver>,
    /// Counts of the rollouts in progress.
    pub(super) collector: rollout::Collector,
    /// When the next step of a rollout may be proposed.
    pub(super) advance_due: time::Instant,
    pub(super) logger: slog::Logger,
}

impl HubDriver {
    /// Creates the hub; `contacts` are the listeners of control VMs that the settings name.
    pub fn new(
        own: hub::HubInfo,
        config: hub::Config,
        contacts: Vec<net::SocketAddr>,
        logger: slog::Logger,
        now: time::Instant,
    ) -> Self {
        Self {
            hub: hub::Hub::new(own.clone(), config, &contacts, now),
            own,
            next_ticket: 0,
            pending_reports: sorted::SortedMap::new(),
            pending_polls: sorted::SortedMap::new(),
            contacts,
            join: control::JoinRequests::new(now),
            leader: None,
            asked: 0,
            stopping: false,
            version: 0,
            group: Vec::new(),
            reachable: Vec::new(),
            retired: false,
            recovered: false,
            quotas: None,
            collector: rollout::Collector::new(rollout::Limits::default()),
            advance_due: now,
            logger,
        }
    }

    /// Has the hub grant tokens of the client accounts in the configuration, which `format`
    /// decodes.
    #[must_use]
    pub fn with_quotas(
        mut self,
        format: sync::Arc<dyn configuration::Format>,
        now: time::Instant,
    ) -> Self {
        let logger = self.logger.clone();
        self.quotas = Some(control::QuotaDriver::new(format, logger, now));
        self
    }

    /// Sets the bounds of rollouts.
    #[must_use]
    pub fn with_rollouts(mut self, limits: rollout::Limits) -> Self {
        self.collector = rollout::Collector::new(limits);
        self
    }

    /// When [`Self::tick`] must be called again at the latest.
    pub fn next_wake(&self, now: time::Instant) -> time::Instant {
        let wake = self.hub.next_deadline(now).min(now + MAX_SLEEP);
        self.next_advance(now).map_or(wake, |due| due.min(wake))
    }

    /// Whether the identity of this VM was retired since the last call; the VM then needs a
    /// new one.
    pub fn take_retired(&mut self) -> bool {
        std::mem::take(&mut self.retired)
    }

    /// Handles an event; the resulting actions are executed by the next [`Self::tick`].
    pub fn handle(
        &mut self,
        event: control::HubEvent,
        voter: Option<&control::Voter>,
        now: time::Instant,
    ) {
        match event {
            control::HubEvent::Report { report, reply } => {
                if report.phase != registry::Phase::Serving {
                    slog::info!(self.logger, "backend server reported that it leaves";
                        "server" => &report.server, "phase" => ?report.phase,
                        "sequence" => report.sequence);
                }
                let ticket = self.ticket();
                let zone = report.zone.clone();
                self.pending_reports
                    .insert(ticket, PendingReport { zone, reply });
                self.hub.report(ticket, *report, now);
            }
            control::HubEvent::Deregister {
                server,
                born,
                reply,
            } => {
                slog::info!(self.logger, "backend server deregistered";
                    "server" => &server, "born" => born);
                let ticket = self.ticket();
                let zone = ids::ZoneName::new();
                self.pending_reports
                    .insert(ticket, PendingReport { zone, reply });
                self.hub.deregister(ticket, &server, born, now);
            }
            control::HubEvent::Batch { batch, reply } => {
                self.hub.set_log(voter.and_then(control::Voter::log_state));
                // The sending hub may have stopped waiting.
                let _ = reply.send(self.hub.receive_batch(*batch, now));
            }
            control::HubEvent::ExchangeEnded { peer, ack } => {
                self.hub.exchange_ended(peer, ack.as_ref(), now);
            }
            control::HubEvent::Observed(reports) => {
                self.log_crashes(&reports);
                self.hub.observe(reports, now);
            }
            control::HubEvent::Follow { request, reply } => {
                let ticket = self.ticket();
                self.pending_polls.insert(ticket, reply);
                self.hub.follow(ticket, *request, now);
            }
            control::HubEvent::TakeTokens { asks, reply } => {
                // A hub that is cut off may have been replaced in the group, and its limits may
                // be out of date. Its share is unavailable then; the dropped reply channel makes
                // the entry VM ask another hub.
                if self.hub.follows_log(now)
                    && let Some(grants) = self.quotas.as_mut().and_then(|own| own.take(&asks, now))
                {
                    // The entry VM may have stopped waiting.
                    let _ = reply.send(grants);
                }
            }
            control::HubEvent::Counted(reports) => {
                for report in reports {
                    self.collector.add(report, now);
                }
            }
            control::HubEvent::AdvanceEnded(reply) => self.advance_ended(reply, now),
            control::HubEvent::Stop => self.stopping = true,
            control::HubEvent::JoinEnded(reply) => self.join_ended(reply, now),
            control::HubEvent::RecordEnded(reply) => self.record_ended(reply, now),
        }
    }

    /// Passes the applied log to the hub, joins the control group if needed, and executes
    /// the actions that are due.
    pub fn tick(
        &mut self,
        voter: Option<&control::Voter>,
        outlet: &dyn control::Outlet,
        now: time::Instant,
        boot: time::Duration,
    ) {
        self.hub.set_log(voter.and_then(control::Voter::log_state));
        if let Some(voter) = voter {
            self.apply_log(voter, outlet, now);
            self.join(voter, outlet, now);
            self.advance_rollouts(voter, outlet, now);
        }
        for action in self.hub.advance(now, boot) {
            self.execute(action, voter, outlet, now);
        }
        self.log_recovery();
        self.log_reachable(now);
    }

    fn log_crashes(&self, reports: &[hub::Observation]) {
        for (server, symptom) in reports {
            if let hub::Symptom::Crashed {
                born,
                content,
                probe,
                unseen,
            } = symptom
            {
                slog::warn!(self.logger, "backend server ended under a request";
                    "server" => server, "born" => born, "content" => content, "probe" => probe,
                    "unseen" => unseen);
            }
        }
    }

    fn log_recovery(&mut self) {
        let recovered = self.hub.has_recovered();
        if recovered && !self.recovered {
            slog::info!(
                self.logger,
                "acknowledged departures recovered from the log"
            );
        }
        self.recovered = recovered;
    }

    fn log_reachable(&mut self, now: time::Instant) {
        let reachable = self.hub.reachable_peers(now);
        if reachable != self.reachable {
            slog::info!(self.logger, "reachable control VMs changed"; "listeners" => ?reachable);
            self.reachable = reachable;
        }
    }

    fn apply_log(
        &mut self,
        voter: &control::Voter,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        if let Some(document) = &voter.state.document
            && document.version > self.version
        {
            self.version = document.version;
            self.hub.set_document(document);
            slog::info!(self.logger, "configuration in force"; "version" => document.version);
            if let Some(quotas) = &mut self.quotas {
                quotas.set_document(document, now);
            }
        }
        if self.hub.set_rollouts(&voter.state.rollouts) {
            let wall_clock = outlet.environment().wall_clock();
            self.collector
                .update(&voter.state.rollouts, wall_clock, now);
        }
        self.hub.set_departures(&voter.state.departures, now);
        let catalog = &voter.state.catalog;
        outlet.publish_revision(catalog.revision);
        self.hub.set_zones(hub::ZonesOut {
            revision: catalog.revision,
            zones: catalog.zones_out.keys().cloned().collect(),
        });
        let addresses = voter.addresses();
        if addresses != self.group {
            self.group.clone_from(&addresses);
            outlet.publish_control_addresses(addresses.clone());
        }
        let group: Vec<_> = addresses.into_iter().map(|(_, rpc)| rpc).collect();
        if let Some(quotas) = &mut self.quotas {
            quotas.set_group(&group, voter.members().len(), self.own.rpc, now);
        }
        self.hub.set_group(group);
    }

    fn execute(
        &mut self,
        action: hub::Action,
        voter: Option<&control::Voter>,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        match action {
            hub::Action::Exchange { peer, batch } => outlet.send_batch(peer, *batch),
            hub::Action::Reply { ticket, reply } => {
                if let Some(sender) = self.pending_polls.remove(&ticket) {
                    // The entry VM may have switched to another hub.
                    let _ = sender.send(*reply);
                }
            }
            hub::Action::Acknowledge { ticket, accepted } => {
                if let Some(pending) = self.pending_reports.remove(&ticket)
                    && accepted
                {
                    let address = self.hub.report_address(&pending.zone, now);
                    // The backend server may have switched to another hub.
                    let _ = pending.reply.send(address);
                }
            }
            hub::Action::Record { departures } => {
                self.record(departures, voter, outlet, now);
            }
            hub::Action::Publish(book) => outlet.publish_addresses(book),
        }
    }

    fn ticket(&mut self) -> ids::Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }
}
