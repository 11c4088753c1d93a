//! State machine of a hub.

use std::{net, time};

use crate::{configuration, containment, hub, ids, registry, sorted, state};

/// Tracks backend servers and entry VMs for one control VM and exchanges changes with
/// the other hubs.
pub struct Hub {
    pub(super) own: hub::HubInfo,
    pub(super) config: hub::Config,
    pub(super) registry: registry::Registry,
    pub(super) members: sorted::SortedMap<net::SocketAddr, hub::known_member::KnownMember>,
    /// Grows when the record of a follower changes.
    pub(super) follower_revision: ids::Revision,
    pub(super) peers: sorted::SortedMap<net::SocketAddr, hub::peer::Peer>,
    /// Listeners of the members of the control group, including this VM's.
    pub(super) group: Vec<net::SocketAddr>,
    pub(super) document: Option<configuration::Document>,
    /// Log of the replica on this VM; `None` if there is none.
    pub(super) log: Option<hub::LogState>,
    pub(super) zones: hub::ZonesOut,
    /// Rollouts that the applied log holds.
    pub(super) rollouts: state::RolloutTable,
    /// Since when another hub has held a newer configuration or catalog; `None` if none does.
    pub(super) behind_since: Option<time::Instant>,
    /// Backend servers that entry VMs found slow or failing.
    pub(super) outliers: hub::outliers::Outliers,
    /// Contents under which backend servers crashed.
    pub(super) contents: containment::Ledger,
    pub(super) pending_polls: Vec<hub::pending_poll::PendingPoll>,
    pub(super) pending_departures: Vec<hub::pending_departure::PendingDeparture>,
    /// Departures that the applied log holds.
    pub(super) departures: state::DepartureTable,
    /// Departures of the command that is being recorded; `None` if there is none.
    pub(super) recording: Option<Vec<registry::Departure>>,
    /// When the next command may be recorded.
    pub(super) record_due: time::Instant,
    pub(super) recovery: hub::recovery::AnyRecovery,
    pub(super) published: hub::AddressBook,
    pub(super) actions: Vec<hub::Action>,
}

impl Hub {
    /// Creates a hub; `contacts` are the listeners of control VMs that the settings name.
    pub fn new(
        own: hub::HubInfo,
        config: hub::Config,
        contacts: &[net::SocketAddr],
        now: time::Instant,
    ) -> Self {
        let mut hub = Self {
            registry: registry::Registry::new(config.server_timeout),
            own,
            config,
            members: sorted::SortedMap::new(),
            follower_revision: 0,
            peers: sorted::SortedMap::new(),
            group: contacts.to_vec(),
            document: None,
            log: None,
            zones: hub::ZonesOut::default(),
            rollouts: state::RolloutTable::default(),
            behind_since: None,
            outliers: hub::outliers::Outliers::default(),
            contents: containment::Ledger::default(),
            pending_polls: Vec::new(),
            pending_departures: Vec::new(),
            departures: state::DepartureTable::default(),
            recording: None,
            record_due: now,
            recovery: hub::recovery::AnyRecovery::default(),
            published: hub::AddressBook::default(),
            actions: Vec::new(),
        };
        for contact in contacts {
            hub.add_peer(*contact);
        }
        hub
    }

    /// Sets the listeners of the control group; an empty list changes nothing.
    pub fn set_group(&mut self, group: Vec<net::SocketAddr>) {
        for listener in &group {
            self.add_peer(*listener);
        }
        if !group.is_empty() {
            self.group = group;
        }
    }

    /// Sets the configuration that the replicated log holds.
    pub fn set_document(&mut self, document: &configuration::Document) {
        self.document = Some(document.clone());
    }

    /// Sets the zones taken out according to the replicated log.
    pub fn set_zones(&mut self, zones: hub::ZonesOut) {
        self.zones = zones;
    }

    /// Sets the rollouts that the replicated log holds; returns whether they are newer.
    pub fn set_rollouts(&mut self, rollouts: &state::RolloutTable) -> bool {
        let is_newer = rollouts.revision() > self.rollouts.revision();
        if is_newer {
            self.rollouts = rollouts.clone();
        }
        is_newer
    }

    /// Whether this hub collects the counts of a service, as far as it knows the others.
    pub fn collects(&self, service: &str, now: time::Instant) -> bool {
        let hubs = self.hubs(now);
        let collector = hub::HubInfo::observer(&hubs, service);
        collector.is_none_or(|info| info.rpc == self.own.rpc)
    }

    /// Number of backend servers of a service that serve with this version.
    pub fn serving(&self, service: &str, version: &str) -> usize {
        self.registry.serving(service, version)
    }

    /// Handles a report of a backend server; [`hub::Action::Acknowledge`] with the ticket
    /// answers it.
    pub fn report(&mut self, ticket: ids::Ticket, report: registry::Report, now: time::Instant) {
        let departure = registry::Departure {
            server: report.server.clone(),
            born: report.born,
            phase: report.phase,
        };
        let outcome = self.registry.merge(report, now, now);
        if outcome == registry::MergeOutcome::Refreshed {
            for peer in self.peers.values_mut() {
                peer.refreshed.insert(departure.server.clone(), ());
            }
        }
        if departure.phase != registry::Phase::Serving {
            self.await_record(ticket, departure, now);
        } else {
            let accepted = true;
            self.actions
                .push(hub::Action::Acknowledge { ticket, accepted });
        }
    }

    /// Handles observations of an entry VM about backend servers.
    pub fn observe(&mut self, reports: Vec<hub::Observation>, now: time::Instant) {
        for (server, symptom) in reports {
            match symptom {
                hub::Symptom::Leaving { born } => {
                    self.registry.mark_leaving(&server, born, now);
                }
                hub::Symptom::Crashed {
                    born,
                    content,
                    probe,
                    unseen,
                } => {
                    let crash = containment::Crash {
                        server,
                        born,
                        probe,
                        unseen,
                    };
                    self.contents.add(content, crash, now);
                }
                symptom => self.outliers.report(server, symptom, now),
            }
        }
    }

    /// Handles the deregistration of a backend server; [`hub::Action::Acknowledge`] with the
    /// ticket answers it.
    ///
    /// `born` limits it to one incarnation of the server, if known.
    pub fn deregister(
        &mut self,
        ticket: ids::Ticket,
        server: &str,
        born: Option<ids::BornMillis>,
        now: time::Instant,
    ) {
        let outcome = self.registry.mark_gone(server, born, now);
        let departed = born.or_else(|| self.registry.born(server));
        match departed {
            Some(born) if outcome != registry::MergeOutcome::Unrecorded => {
                let departure = registry::Departure {
                    server: server.to_owned(),
                    born,
                    phase: registry::Phase::Gone,
                };
                self.await_record(ticket, departure, now);
            }
            _ => {
                let accepted = false;
                self.actions
                    .push(hub::Action::Acknowledge { ticket, accepted });
            }
        }
    }

    /// Address for the later reports of a server: that of a reachable hub in its zone, else
    /// of this one.
    pub fn report_address(&self, zone: &str, now: time::Instant) -> net::SocketAddr {
        let timeout = self.config.peer_timeout;
        let is_reachable = |peer: &&hub::peer::Peer| peer.is_reachable(timeout, now);
        let reachable = self.peers.values().filter(is_reachable);
        let same_zone = reachable
            .filter_map(|peer| peer.info.as_ref())
            .find(|info| info.zone == zone);
        match same_zone {
            Some(info) if self.own.zone != zone => info.control,
            _ => self.own.control,
        }
    }

    /// Does what is due and returns the actions since the last call.
    ///
    /// `boot` is the boot time, which includes suspensions of this VM.
    pub fn advance(&mut self, now: time::Instant, boot: time::Duration) -> Vec<hub::Action> {
        self.registry.expire(now);
        self.outliers.expire(now);
        self.outliers.publish(now);
        self.contents.expire(now);
        self.track_lag(now);
        self.exchange_due(now, boot);
        self.record_due(now);
        self.acknowledge_due(now);
        self.reply_due(now, boot);
        self.publish_addresses(now);
        std::mem::take(&mut self.actions)
    }

    /// When [`Self::advance`] must be called again at the latest.
    pub fn next_deadline(&self, now: time::Instant) -> time::Instant {
        let exchange = self
            .peers
            .values()
            .filter(|peer| peer.in_flight.is_none())
            .filter_map(|peer| match peer.acked < self.registry.position() {
                true => peer
                    .paused_until
                    .or(peer.due(self.config.exchange_interval)),
                false => peer
                    .due(self.config.exchange_interval)
                    .max(peer.paused_until),
            });
        let polls = self.pending_polls.iter().map(|poll| poll.deadline);
        let reports = self.pending_departures.iter().map(|report| report.deadline);
        let outliers = self.outliers.next_publication(now);
        let records = self.next_record();
        let all = exchange.chain(polls).chain(reports).chain(outliers);
        let all = all.chain(records);
        all.min().unwrap_or(now + self.config.exchange_interval)
    }

    /// Listeners of the other hubs that are reachable, ascending.
    pub fn reachable_peers(&self, now: time::Instant) -> Vec<net::SocketAddr> {
        let timeout = self.config.peer_timeout;
        let reachable = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_reachable(timeout, now));
        reachable.map(|(listener, _)| *listener).collect()
    }

    /// Version of the configuration; 0 if there is none.
    pub(super) fn version(&self) -> ids::ConfigVersion {
        self.document
            .as_ref()
            .map_or(0, |document| document.version)
    }

    /// Whether entry VMs may rely on this hub: it knows all departures, reaches a majority, has
    /// a configuration and does not lag behind the replicated log.
    pub(super) fn is_current(&self, now: time::Instant) -> bool {
        self.has_recovered() && self.follows_log(now)
    }

    /// Whether this hub has a configuration, reaches a majority and does not lag behind the
    /// replicated log.
    pub fn follows_log(&self, now: time::Instant) -> bool {
        let lags =
            |since: time::Instant| now.saturating_duration_since(since) > self.config.lag_limit;
        self.has_quorum(now) && self.document.is_some() && !self.behind_since.is_some_and(lags)
    }

    /// Whether a majority of the control group is reachable, this VM included.
    pub fn has_quorum(&self, now: time::Instant) -> bool {
        let reachable = self.group.iter().filter(|listener| {
            let peer = self.peers.get(*listener);
            **listener == self.own.rpc
                || peer.is_some_and(|peer| peer.is_reachable(self.config.peer_timeout, now))
        });
        reachable.count() * 2 > self.group.len()
    }

    fn publish_addresses(&mut self, now: time::Instant) {
        let timeout = self.config.member_timeout;
        let live = self.members.values().filter(|known| {
            known.member.ready && now.saturating_duration_since(known.last_seen) <= timeout
        });
        let live: Vec<_> = live.map(|known| &known.member).collect();
        if !live.iter().copied().eq(&self.published.members) {
            let members = live.into_iter().cloned().collect();
            self.published = hub::AddressBook { members };
            let book = self.published.clone();
            self.actions.push(hub::Action::Publish(book));
        }
    }
}
