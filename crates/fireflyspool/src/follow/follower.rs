//! State machine of a follower.

use std::{net, sync, time};

use crate::{configuration, fleet, follow, hub, ids};

/// Pause after a poll that failed or that a control VM without a majority answered.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Shortest time between two polls, so that changes in quick succession share a reply.
const POLL_SPACING: time::Duration = time::Duration::from_millis(20);

/// Polls one control VM at a time and builds the entry VM's view from the replies.
pub struct Follower {
    member: hub::Member,
    format: sync::Arc<dyn configuration::Format>,
    contacts: Vec<net::SocketAddr>,
    hubs: Vec<hub::HubInfo>,
    /// Listener of the control VM that is polled.
    current: net::SocketAddr,
    /// Polls that failed or were answered by a hub that is not current; selects the next hub.
    failures: usize,
    /// Incarnation of the hub to which `position` belongs; 0 if there is none.
    incarnation: ids::Incarnation,
    position: ids::ChangePosition,
    outlier_revision: u64,
    view: fleet::View,
    leaving: bool,
    in_flight: bool,
    due: time::Instant,
}

impl Follower {
    /// Creates a follower; `contacts` are the listeners of control VMs that the settings
    /// name.
    ///
    /// Returns `None` if there are none.
    pub fn new(
        member: hub::Member,
        format: sync::Arc<dyn configuration::Format>,
        contacts: Vec<net::SocketAddr>,
        now: time::Instant,
    ) -> Option<Self> {
        // Spreads the entry VMs over the control VMs.
        let first = usize::try_from(member.incarnation % contacts.len().max(1) as u64);
        let current = *contacts.get(first.unwrap_or(0))?;
        Some(Self {
            member,
            format,
            contacts,
            hubs: Vec::new(),
            current,
            failures: 0,
            incarnation: 0,
            position: 0,
            outlier_revision: 0,
            view: fleet::View::default(),
            leaving: false,
            in_flight: false,
            due: now,
        })
    }

    /// When the next poll is due; `None` while one is in flight.
    pub fn next_poll(&self) -> Option<time::Instant> {
        (!self.in_flight).then_some(self.due)
    }

    /// Listener of the control VM that is polled.
    pub fn hub(&self) -> net::SocketAddr {
        self.current
    }

    /// View built from the replies so far.
    pub fn view(&self) -> &fleet::View {
        &self.view
    }

    /// Has the next poll, due now, report that callers must no longer be sent to this VM.
    pub fn leave(&mut self, now: time::Instant) {
        self.leaving = true;
        self.due = now;
    }

    /// The poll to send now, if one is due.
    ///
    /// `suspended` are the backend servers that are not used until their next heartbeat.
    pub fn poll(
        &mut self,
        suspended: &[ids::ServerName],
        now: time::Instant,
    ) -> Option<follow::Poll> {
        if self.in_flight || now < self.due {
            return None;
        }
        self.in_flight = true;
        self.member.ready = self.view.table.is_some() && !self.leaving;
        let table = self.view.table.as_ref();
        let request = hub::FollowRequest {
            member: self.member.clone(),
            incarnation: self.incarnation,
            position: self.position,
            version: table.map_or(0, |table| table.version()),
            revision: self.view.zones.revision,
            outlier_revision: self.outlier_revision,
            hubs: self.hubs.len(),
            suspended: suspended.to_vec(),
        };
        let hub = self.current;
        Some(follow::Poll { hub, request })
    }

    /// Handles the end of a poll; `reply` is `None` if none arrived.
    ///
    /// # Errors
    ///
    /// Returns a [`configuration::ConfigurationError`] if the reply holds a
    /// configuration that this release cannot use; the former one stays in use.
    pub fn poll_ended(
        &mut self,
        reply: Option<hub::FollowReply>,
        now: time::Instant,
    ) -> Result<(), configuration::ConfigurationError> {
        self.in_flight = false;
        let Some(reply) = reply else {
            self.switch_hub(now);
            return Ok(());
        };
        self.due = now + POLL_SPACING;
        self.incarnation = reply.incarnation;
        self.position = reply.changes.position;
        self.view.generation += 1;
        self.view.members = reply.members;
        self.outlier_revision = reply.outlier_revision;
        self.view.outliers.clone_from(&reply.outliers);
        self.merge_servers(&reply, now);
        if let Some(zones) = reply.zones
            && zones.revision > self.view.zones.revision
        {
            self.view.zones = zones;
        }
        if let Some(hubs) = reply.hubs {
            self.hubs = hubs;
            self.prefer_own_zone();
        }
        if reply.current {
            self.view.confirmed = Some(now);
        } else {
            self.switch_hub(now);
        }
        reply
            .document
            .map_or(Ok(()), |document| self.apply_document(&document))
    }

    fn merge_servers(&mut self, reply: &hub::FollowReply, now: time::Instant) {
        for record in &reply.changes.records {
            let known = self.view.servers.get(&record.server);
            if known.is_none_or(|known| known.is_superseded_by(record)) {
                let server = fleet::KnownServer::new(record.clone(), now);
                self.view.servers.insert(record.server.clone(), server);
            }
        }
        for confirmation in &reply.confirmations {
            if let Some(known) = self.view.servers.get_mut(&confirmation.server)
                && known.record.born == confirmation.born
            {
                let age = time::Duration::from_millis(confirmation.age_ms);
                let last_seen = now.checked_sub(age).unwrap_or(now);
                known.last_heartbeat = known.last_heartbeat.max(last_seen);
            }
        }
    }

    fn apply_document(
        &mut self,
        document: &configuration::Document,
    ) -> Result<(), configuration::ConfigurationError> {
        let version = self.view.table.as_ref().map_or(0, |table| table.version());
        if document.version > version {
            let decoded = self.format.decode(&document.text)?;
            let table = configuration::RoutingTable::new(decoded);
            self.view.table = Some(sync::Arc::new(table));
        }
        Ok(())
    }

    fn switch_hub(&mut self, now: time::Instant) {
        self.failures += 1;
        self.due = now + FAILURE_PAUSE;
        let known = self.hubs.iter().map(|info| info.rpc);
        let mut all: Vec<_> = known.chain(self.contacts.iter().copied()).collect();
        all.retain(|listener| *listener != self.current);
        all.dedup();
        if !all.is_empty() {
            self.current = all[self.failures % all.len()];
            self.incarnation = 0;
        }
    }

    /// Switches to a control VM of the own zone if the current one is in another zone.
    fn prefer_own_zone(&mut self) {
        let is_local = |info: &&hub::HubInfo| info.zone == self.member.zone;
        let own: Vec<_> = self
            .hubs
            .iter()
            .filter(is_local)
            .map(|info| info.rpc)
            .collect();
        if !own.is_empty() && !own.contains(&self.current) {
            let choice = usize::try_from(self.member.incarnation % own.len() as u64);
            self.current = own[choice.unwrap_or(0)];
            self.incarnation = 0;
        }
    }
}
