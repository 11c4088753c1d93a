//! The hub, as the control thread keeps it.

use std::{net, time};

use tokio::sync::oneshot;

use crate::{control, hub, ids, registry, sorted};

/// Longest time without a look at what is due.
const IDLE_WAKE: time::Duration = time::Duration::from_secs(1);

struct PendingReport {
    zone: ids::ZoneName,
    reply: oneshot::Sender<net::SocketAddr>,
}

/// Drives the hub and keeps this VM in the control group.
pub struct HubDriver {
    pub(super) hub: hub::Hub,
    pub(super) own: hub::HubInfo,
    pub(super) next_ticket: ids::Ticket,
    reports: sorted::SortedMap<ids::Ticket, PendingReport>,
    pub(super) polls: sorted::SortedMap<ids::Ticket, oneshot::Sender<hub::FollowReply>>,
    pub(super) contacts: Vec<net::SocketAddr>,
    pub(super) join_due: time::Instant,
    pub(super) join_target: usize,
    pub(super) replace_due: time::Instant,
    /// When each member of the control group was first listed.
    pub(super) listed: sorted::SortedMap<net::SocketAddr, time::Instant>,
    pub(super) version: ids::ConfigVersion,
    /// Members of the control group that were published last.
    pub(super) group: Vec<(ids::NodeId, net::SocketAddr)>,
    /// Other control VMs that were in reach at the last look.
    pub(super) reached: Vec<net::SocketAddr>,
    pub(super) retired: bool,
    pub(super) logger: slog::Logger,
}

impl HubDriver {
    /// A hub that starts with these contacts.
    pub fn new(
        own: hub::HubInfo,
        config: hub::Config,
        contacts: Vec<net::SocketAddr>,
        logger: slog::Logger,
        now: time::Instant,
    ) -> Self {
        Self {
            hub: hub::Hub::new(own.clone(), config, &contacts),
            own,
            next_ticket: 0,
            reports: sorted::SortedMap::new(),
            polls: sorted::SortedMap::new(),
            contacts,
            join_due: now,
            join_target: 0,
            replace_due: now,
            listed: sorted::SortedMap::new(),
            version: 0,
            group: Vec::new(),
            reached: Vec::new(),
            retired: false,
            logger,
        }
    }

    /// When this side must be called again.
    pub fn next_wake(&self, now: time::Instant) -> time::Instant {
        self.hub.next_deadline(now).min(now + IDLE_WAKE)
    }

    /// Whether the number of this VM was retired, so that it must take a new one.
    pub fn take_retired(&mut self) -> bool {
        std::mem::take(&mut self.retired)
    }

    /// Takes an event.
    pub fn handle(&mut self, event: control::HubEvent, now: time::Instant) {
        match event {
            control::HubEvent::Report { report, reply } => {
                if report.phase != registry::Phase::Serving {
                    slog::info!(self.logger, "backend server leaves";
                        "server" => &report.server, "phase" => ?report.phase,
                        "sequence" => report.sequence);
                }
                let ticket = self.ticket();
                let zone = report.zone.clone();
                self.reports.insert(ticket, PendingReport { zone, reply });
                self.hub.report(ticket, *report, now);
            }
            control::HubEvent::Deregister {
                server,
                born,
                reply,
            } => {
                slog::info!(self.logger, "backend server departs";
                    "server" => &server, "born" => born);
                let ticket = self.ticket();
                let zone = ids::ZoneName::new();
                self.reports.insert(ticket, PendingReport { zone, reply });
                self.hub.deregister(ticket, &server, born, now);
            }
            control::HubEvent::Batch { batch, reply } => {
                // The sender may have given up.
                let _ = reply.send(self.hub.receive_batch(*batch, now));
            }
            control::HubEvent::ExchangeEnded { peer, ack } => {
                self.hub.exchange_ended(peer, ack.as_ref(), now);
            }
            control::HubEvent::Observed(reports) => self.hub.observe(reports, now),
            control::HubEvent::Follow { request, reply } => {
                let ticket = self.ticket();
                self.polls.insert(ticket, reply);
                self.hub.follow(ticket, *request, now);
            }
            control::HubEvent::JoinEnded(reply) => self.join_ended(reply),
        }
    }

    /// Passes on what the replicated log decided and does what is due.
    pub fn tick(
        &mut self,
        voter: Option<&control::Voter>,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        if let Some(voter) = voter {
            self.follow_log(voter, outlet, now);
            self.join(voter, outlet, now);
        }
        for action in self.hub.advance(now) {
            self.execute(action, outlet, now);
        }
        self.log_reach(now);
    }

    fn log_reach(&mut self, now: time::Instant) {
        let reached = self.hub.reachable_peers(now);
        if reached != self.reached {
            slog::info!(self.logger, "control VMs in reach"; "listeners" => ?reached);
            self.reached = reached;
        }
    }

    fn follow_log(
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
        }
        let catalog = &voter.state.catalog;
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
        for listener in &group {
            self.listed.get_or_insert_with(*listener, || now);
        }
        self.hub.set_group(group);
    }

    fn execute(&mut self, action: hub::Action, outlet: &dyn control::Outlet, now: time::Instant) {
        match action {
            hub::Action::Exchange { peer, batch } => outlet.send_batch(peer, *batch),
            hub::Action::Reply { ticket, reply } => {
                if let Some(sender) = self.polls.remove(&ticket) {
                    // The entry VM may have moved to another hub.
                    let _ = sender.send(*reply);
                }
            }
            hub::Action::Acknowledge { ticket, accepted } => {
                if let Some(pending) = self.reports.remove(&ticket)
                    && accepted
                {
                    let address = self.hub.report_address(&pending.zone, now);
                    // The backend server may have moved to another hub.
                    let _ = pending.reply.send(address);
                }
            }
            hub::Action::Publish(book) => outlet.publish_addresses(book),
        }
    }

    fn ticket(&mut self) -> ids::Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }
}
