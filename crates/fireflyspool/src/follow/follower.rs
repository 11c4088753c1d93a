//! State of a follower.

use std::{net, sync, time};

use crate::{configuration, fleet, follow, hub, ids};

/// Pause after a poll that failed or that a control VM without majority answered.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Least time between two polls, which joins changes that come in series.
const POLL_SPACING: time::Duration = time::Duration::from_millis(20);

/// Follows one control VM at a time.
pub struct Follower {
    member: hub::Member,
    format: sync::Arc<dyn configuration::Format>,
    contacts: Vec<net::SocketAddr>,
    hubs: Vec<hub::HubInfo>,
    current: net::SocketAddr,
    /// Polls that failed; chooses the next control VM.
    failures: usize,
    incarnation: ids::Incarnation,
    position: ids::ChangePosition,
    outlier_revision: u64,
    view: fleet::View,
    leaving: bool,
    in_flight: bool,
    due: time::Instant,
}

impl Follower {
    /// A follower that knows some control VMs by their listeners.
    ///
    /// Returns `None` without any.
    pub fn new(
        member: hub::Member,
        format: sync::Arc<dyn configuration::Format>,
        contacts: Vec<net::SocketAddr>,
        now: time::Instant,
    ) -> Option<Self> {
        // Entry VMs start with different control VMs.
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

    /// When the next poll is due; `None` while one is under way.
    pub fn next_poll(&self) -> Option<time::Instant> {
        (!self.in_flight).then_some(self.due)
    }

    /// The control VM that is followed.
    pub fn hub(&self) -> net::SocketAddr {
        self.current
    }

    /// What this VM knows.
    pub fn view(&self) -> &fleet::View {
        &self.view
    }

    /// Takes this VM out of the answers to callers.
    pub fn leave(&mut self, now: time::Instant) {
        self.leaving = true;
        self.due = now;
    }

    /// The poll that is due now, if any.
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

    /// Takes the end of a poll; `None` means that no answer came.
    ///
    /// # Errors
    ///
    /// Returns a [`configuration::ConfigurationError`] if the answer holds a
    /// configuration that this release cannot use; the former one stays.
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
                let heard = now.checked_sub(age).unwrap_or(now);
                known.last_heartbeat = known.last_heartbeat.max(heard);
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
        let known = self.hubs.iter().map(|origin| origin.rpc);
        let mut all: Vec<_> = known.chain(self.contacts.iter().copied()).collect();
        all.retain(|listener| *listener != self.current);
        all.dedup();
        if !all.is_empty() {
            self.current = all[self.failures % all.len()];
            self.incarnation = 0;
        }
    }

    /// Moves to a control VM of the own zone if the current one is elsewhere.
    fn prefer_own_zone(&mut self) {
        let local = |origin: &&hub::HubInfo| origin.zone == self.member.zone;
        let own: Vec<_> = self
            .hubs
            .iter()
            .filter(local)
            .map(|origin| origin.rpc)
            .collect();
        if !own.is_empty() && !own.contains(&self.current) {
            let choice = usize::try_from(self.member.incarnation % own.len() as u64);
            self.current = own[choice.unwrap_or(0)];
            self.incarnation = 0;
        }
    }
}
