//! State machine of a follower.

use std::{net, sync, time};

use crate::follow::{contents, hub_choice};
use crate::{configuration, containment, fleet, follow, hub, ids};

/// Pause after a poll that failed or that a control VM without a majority answered.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Failures in a row with a pause of [`FAILURE_PAUSE`], enough to ask several hubs.
const QUICK_FAILURES: usize = 6;

/// Pause after further failures: then no control VM may be of use for seconds.
const LONG_FAILURE_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Shortest time between two polls, so that changes in quick succession share a reply.
const POLL_SPACING: time::Duration = time::Duration::from_millis(20);

/// Age of a hub's evidence beyond which another hub is asked; it leaves time to find one before
/// keys are refused.
const EVIDENCE_LIMIT: time::Duration = time::Duration::from_millis(2_500);

/// Polls one control VM at a time and builds the entry VM's view from the replies.
pub struct Follower {
    member: hub::Member,
    format: sync::Arc<dyn configuration::Format>,
    choice: hub_choice::HubChoice,
    outlier_revision: u64,
    contents: contents::Contents,
    view: fleet::View,
    leaving: bool,
    in_flight: bool,
    /// Boot time when the last poll was sent.
    polled: time::Duration,
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
        let choice = hub_choice::HubChoice::new(&member, contacts)?;
        Some(Self {
            member,
            format,
            choice,
            outlier_revision: 0,
            contents: contents::Contents::default(),
            view: fleet::View::default(),
            leaving: false,
            in_flight: false,
            polled: time::Duration::ZERO,
            due: now,
        })
    }

    /// Incarnation of this VM's process.
    pub fn incarnation(&self) -> ids::Incarnation {
        self.member.incarnation
    }

    /// When the next poll is due; `None` while one is in flight.
    pub fn next_poll(&self) -> Option<time::Instant> {
        (!self.in_flight).then_some(self.due)
    }

    /// Listener of the control VM that is polled.
    pub fn hub(&self) -> net::SocketAddr {
        self.choice.current()
    }

    /// Listeners of all known control VMs, the polled one first.
    pub fn hubs(&self) -> Vec<net::SocketAddr> {
        self.choice.ranked()
    }

    /// Listener of the control VM that collects an observation.
    pub fn observer(&self, (server, symptom): &hub::Observation) -> net::SocketAddr {
        match symptom {
            // Any hub takes it and passes it on.
            hub::Symptom::Leaving { .. } | hub::Symptom::Crashed { .. } => self.choice.current(),
            _ => self.choice.observer(server),
        }
    }

    /// Listener of the control VM that collects the counts of a service.
    pub fn collector(&self, service: &str) -> net::SocketAddr {
        self.choice.observer(service)
    }

    /// View built from the replies so far.
    pub fn view(&self) -> &fleet::View {
        &self.view
    }

    /// Records a crash that an attempt of this VM has seen, for the view and the next polls;
    /// returns whether it may change a verdict.
    pub fn note_crash(
        &mut self,
        content: ids::Fingerprint,
        crash: containment::Crash,
        now: time::Instant,
    ) -> bool {
        let ledger = sync::Arc::make_mut(&mut self.view.contents);
        let changed = ledger.add(content, crash, now);
        if changed {
            self.contents.note(content);
        }
        changed
    }

    /// Has the next poll, due now, report that callers must no longer be sent to this VM.
    pub fn leave(&mut self, now: time::Instant) {
        self.leaving = true;
        self.due = now;
    }

    /// The poll to send now, if one is due.
    ///
    /// `suspended` are the backend servers that are not used until their next heartbeat, and
    /// `boot` is the boot time, which includes suspensions of this VM.
    pub fn poll(
        &mut self,
        suspended: &[ids::ServerName],
        now: time::Instant,
        boot: time::Duration,
    ) -> Option<follow::Poll> {
        if self.in_flight || now < self.due {
            return None;
        }
        self.in_flight = true;
        self.polled = boot;
        self.member.ready = self.view.table.is_some() && !self.leaving;
        let table = self.view.table.as_ref();
        let (incarnation, position) = self.choice.position();
        let contents = self.contents.next_records(&self.view.contents, now);
        let request = hub::FollowRequest {
            member: self.member.clone(),
            incarnation,
            position,
            records: self.choice.wants_records(),
            version: table.map_or(0, |table| table.version()),
            revision: self.view.zones.revision,
            rollout_revision: self.view.rollouts.revision(),
            outlier_revision: self.outlier_revision,
            content_position: self.contents.position(incarnation),
            contents,
            hubs: self.choice.hubs_checksum(),
            delegates: self
                .choice
                .wants_records()
                .then(|| hub::Delegate::checksum(&self.view.delegates)),
            suspended: suspended.to_vec(),
        };
        let hub = self.choice.current();
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
        let known = self.choice.position().0 == reply.incarnation;
        let with_records = known || self.choice.wants_records();
        self.view.generation += 1;
        self.view.members = reply.members;
        self.merge_servers(&reply, now);
        if with_records {
            let position = reply.changes.position;
            self.choice.set_position(reply.incarnation, position);
            self.outlier_revision = reply.outlier_revision;
            self.view.outliers.clone_from(&reply.outliers);
            self.merge_contents(&reply, now);
        }
        if let Some(zones) = reply.zones
            && zones.revision > self.view.zones.revision
        {
            self.view.zones = zones;
        }
        if let Some(rollouts) = reply.rollouts
            && rollouts.revision() > self.view.rollouts.revision()
        {
            self.view.rollouts = rollouts;
        }
        if reply.current && with_records {
            self.view.confirmed = Some(now);
        }
        match reply.current && !self.lacks_evidence(reply.evidence_ms) {
            true => self.choice.confirm(with_records),
            false => self.switch_hub(now),
        }
        if let Some(delegates) = reply.delegates {
            self.view.delegates = delegates;
        }
        if let Some(hubs) = reply.hubs {
            match reply.current {
                true => self.choice.set_hubs(hubs),
                false => self.choice.add_hubs(hubs),
            }
        }
        if let Some(document) = &reply.document {
            self.apply_document(document)?;
        }
        self.extend_authority(reply.evidence_ms);
        Ok(())
    }

    /// Whether a hub cannot prove that it holds all configurations, and keys depend on it.
    fn lacks_evidence(&self, evidence_ms: Option<u64>) -> bool {
        let table = self.view.table.as_ref();
        let age = evidence_ms.map(time::Duration::from_millis);
        table.is_some_and(|table| !table.accounts().is_empty())
            && age.is_none_or(|age| age > EVIDENCE_LIMIT)
    }

    /// Takes the evidence of a reply whose configuration is in use.
    ///
    /// The reply was created after the poll was sent, so the view holds every configuration that
    /// was acknowledged earlier than this age before the poll.
    fn extend_authority(&mut self, evidence_ms: Option<u64>) {
        let age = evidence_ms.map(time::Duration::from_millis);
        let proven = age.and_then(|age| self.polled.checked_sub(age));
        self.view.authority = self.view.authority.max(proven);
    }

    fn merge_contents(&mut self, reply: &hub::FollowReply, now: time::Instant) {
        if !reply.contents.is_empty() {
            let ledger = sync::Arc::make_mut(&mut self.view.contents);
            for record in &reply.contents {
                ledger.merge(record.clone(), now);
            }
            ledger.expire(now);
        }
        self.contents.replied(reply, &self.view.contents);
    }

    fn switch_hub(&mut self, now: time::Instant) {
        self.choice.fail();
        self.due = now
            + match self.choice.failures() <= QUICK_FAILURES {
                true => FAILURE_PAUSE,
                false => LONG_FAILURE_PAUSE,
            };
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
}
