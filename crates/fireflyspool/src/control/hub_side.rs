//! The hub, as the control thread keeps it.

use std::{net, time};

use tokio::sync::oneshot;

use crate::{control, hub, ids, registry, sorted, state};

/// Pause between two requests to join the control group, or to retire a member.
const JOIN_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Silence after which a member of the control group gives way to one that
/// joined later. Shorter cuts are borne by the majority.
const REPLACE_AFTER: time::Duration = time::Duration::from_secs(8);

struct PendingReport {
    zone: ids::ZoneName,
    reply: oneshot::Sender<net::SocketAddr>,
}

/// Drives the hub and keeps this VM in the control group.
pub struct HubSide {
    hub: hub::Hub,
    own: hub::Origin,
    next_ticket: ids::Ticket,
    reports: sorted::SortedMap<ids::Ticket, PendingReport>,
    polls: sorted::SortedMap<ids::Ticket, oneshot::Sender<hub::FollowReply>>,
    contacts: Vec<net::SocketAddr>,
    join_due: time::Instant,
    join_target: usize,
    replace_due: time::Instant,
    /// When each member of the control group was first listed.
    listed: sorted::SortedMap<net::SocketAddr, time::Instant>,
    version: ids::ConfigVersion,
    /// Members of the control group that were published last.
    group: Vec<(ids::NodeId, net::SocketAddr)>,
    retired: bool,
    logger: slog::Logger,
}

impl HubSide {
    /// A hub that starts with these contacts.
    pub fn new(
        own: hub::Origin,
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
            retired: false,
            logger,
        }
    }

    /// When this side must be called again.
    pub fn next_wake(&self, now: time::Instant) -> time::Instant {
        self.hub.next_deadline(now).min(now + JOIN_PAUSE)
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
            control::HubEvent::Depart {
                server,
                born,
                reply,
            } => {
                slog::info!(self.logger, "backend server departs";
                    "server" => &server, "born" => born);
                let ticket = self.ticket();
                let zone = ids::ZoneName::new();
                self.reports.insert(ticket, PendingReport { zone, reply });
                self.hub.depart(ticket, &server, born, now);
            }
            control::HubEvent::Batch { batch, reply } => {
                // The sender may have given up.
                let _ = reply.send(self.hub.receive(*batch, now));
            }
            control::HubEvent::Exchanged { peer, ack } => {
                self.hub.exchanged(peer, ack.as_ref(), now);
            }
            control::HubEvent::Slow(reports) => self.hub.report_slow(reports, now),
            control::HubEvent::Follow { request, reply } => {
                let ticket = self.ticket();
                self.polls.insert(ticket, reply);
                self.hub.follow(ticket, *request, now);
            }
            control::HubEvent::Joined(reply) => self.joined(reply),
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
    }

    /// Member of the control group that a later one replaces.
    pub fn replaced(&mut self, voter: &control::Voter, now: time::Instant) -> Option<ids::NodeId> {
        if now < self.replace_due {
            return None;
        }
        self.replace_due = now + JOIN_PAUSE;
        let newest = self.listed.values().max().copied()?;
        let is_replaced = |listener: &net::SocketAddr| {
            let heard = self.hub.last_heard(*listener);
            *listener != self.own.rpc
                && heard.is_some_and(|heard| {
                    heard < newest && now.saturating_duration_since(heard) > REPLACE_AFTER
                })
        };
        let group = voter.addresses();
        let found = group.iter().find(|(_, listener)| is_replaced(listener));
        found.map(|(node, _)| *node)
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
            outlet.publish_control(addresses.clone());
        }
        let group: Vec<_> = addresses.into_iter().map(|(_, rpc)| rpc).collect();
        for listener in &group {
            self.listed.get_or_insert_with(*listener, || now);
        }
        self.hub.set_group(group);
    }

    /// Asks to be listed in the control group until the log lists this VM.
    fn join(&mut self, voter: &control::Voter, outlet: &dyn control::Outlet, now: time::Instant) {
        let identity = voter.folder.identity();
        let listed = voter.state.group.added.get(&identity.node);
        if now < self.join_due
            || listed.is_some_and(|record| record.incarnation == identity.incarnation)
        {
            return;
        }
        self.join_due = now + JOIN_PAUSE;
        let order = state::Order::Join {
            node: identity.node,
            incarnation: identity.incarnation,
            rpc: self.own.rpc,
        };
        let mut targets = self.contacts.clone();
        if !targets.contains(&self.own.rpc) {
            targets.push(self.own.rpc);
        }
        self.join_target = (self.join_target + 1) % targets.len();
        outlet.order(targets[self.join_target], order);
    }

    fn joined(&mut self, reply: Option<control::OrderReply>) {
        match reply {
            Some(control::OrderReply::Done {
                outcome: state::OrderOutcome::Retired,
            }) => {
                slog::warn!(self.logger, "this VM was replaced and must join anew");
                self.retired = true;
            }
            other => slog::info!(self.logger, "asked to join"; "answer" => ?other),
        }
    }

    fn execute(&mut self, action: hub::Action, outlet: &dyn control::Outlet, now: time::Instant) {
        match action {
            hub::Action::Exchange { peer, batch } => outlet.exchange(peer, *batch),
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
