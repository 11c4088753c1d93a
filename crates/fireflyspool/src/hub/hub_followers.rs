//! Polls of the entry VMs that follow this hub.

use std::time;

use crate::{configuration, hub, ids, registry};

/// Silence after which the record of an entry VM is removed.
const MEMBER_RETENTION: time::Duration = time::Duration::from_secs(60);

impl hub::Hub {
    /// Handles the poll of an entry VM; [`hub::Action::Reply`] with the ticket answers it.
    pub fn follow(
        &mut self,
        ticket: ids::Ticket,
        mut request: hub::FollowRequest,
        now: time::Instant,
    ) {
        for record in std::mem::take(&mut request.contents) {
            self.contents.merge(record, now);
        }
        self.update_member(request.member.clone(), now, true);
        let deadline = now + self.config.poll_hold;
        self.pending_polls.push(hub::pending_poll::PendingPoll {
            ticket,
            request,
            deadline,
        });
    }

    pub(super) fn update_member(
        &mut self,
        member: hub::Member,
        last_seen: time::Instant,
        follows: bool,
    ) {
        let known = self.members.get(&member.callers);
        if known.is_some_and(|known| known.last_seen > last_seen) {
            return;
        }
        let unchanged = known.filter(|known| known.follows == follows && known.member == member);
        let revision = unchanged.map_or_else(
            || {
                self.follower_revision += 1;
                self.follower_revision
            },
            |known| known.revision,
        );
        let known = hub::known_member::KnownMember {
            last_seen,
            follows,
            revision,
            member,
        };
        self.members.insert(known.member.callers, known);
        self.members.retain(|_, known| {
            last_seen.saturating_duration_since(known.last_seen) < MEMBER_RETENTION
        });
    }

    /// Replies to polls for which there are changes or whose time is over.
    pub(super) fn reply_due(&mut self, now: time::Instant, boot: time::Duration) {
        let pending = std::mem::take(&mut self.pending_polls);
        for poll in pending {
            if poll.deadline <= now || self.has_changes(&poll.request) {
                let reply = Box::new(self.reply_to(&poll.request, now, boot));
                let ticket = poll.ticket;
                self.actions.push(hub::Action::Reply { ticket, reply });
            } else {
                self.pending_polls.push(poll);
            }
        }
    }

    fn has_changes(&self, request: &hub::FollowRequest) -> bool {
        request.incarnation != self.own.incarnation
            || request.position != self.registry.position()
            || request.outlier_revision != self.outliers.revision()
            || request.content_position < self.contents.urgent_position()
            || self.version() > request.version
            || self.zones.revision > request.revision
            || self.rollouts.revision() > request.rollout_revision
    }

    fn reply_to(
        &self,
        request: &hub::FollowRequest,
        now: time::Instant,
        boot: time::Duration,
    ) -> hub::FollowReply {
        let known = request.incarnation == self.own.incarnation;
        let changes = match (known, request.records) {
            _ if !self.has_recovered() => self.known_departures(now),
            (true, _) => self.registry.since(request.position, now),
            (false, true) => registry::ChangeSet {
                position: self.registry.position(),
                records: self.registry.records(now),
            },
            // The entry VM asks only whether this hub is current.
            (false, false) => registry::ChangeSet::default(),
        };
        let outliers = match known || request.records {
            true => self.outliers.listed().to_vec(),
            false => Vec::new(),
        };
        let contents = match (known, request.records) {
            (true, _) => self.contents.since(request.content_position, now),
            (false, true) => self.contents.since(0, now),
            (false, false) => Vec::new(),
        };
        let lacking = |document: &&configuration::Document| document.version > request.version;
        let suspended = request.suspended.iter();
        let confirmations = suspended
            .filter_map(|server| self.registry.record(server, now))
            .filter(|record| record.phase == registry::Phase::Serving && record.cold_ms == 0)
            .map(|record| hub::Confirmation::of(&record))
            .collect();
        let hubs = self.hubs(now);
        let delegates = request.delegates.and_then(|checksum| {
            let delegates = self.published.delegates(&request.member);
            (hub::Delegate::checksum(&delegates) != checksum).then_some(delegates)
        });
        hub::FollowReply {
            incarnation: self.own.incarnation,
            current: self.is_current(now),
            evidence_ms: self.evidence_ms(boot),
            document: self.document.as_ref().filter(lacking).cloned(),
            zones: (self.zones.revision > request.revision).then(|| self.zones.clone()),
            rollouts: (self.rollouts.revision() > request.rollout_revision)
                .then(|| self.rollouts.clone()),
            changes,
            confirmations,
            outlier_revision: self.outliers.revision(),
            outliers,
            content_position: self.contents.position(),
            contents,
            members: self.published.members.len(),
            delegates,
            hubs: (request.records && !known || hub::HubInfo::checksum(&hubs) != request.hubs)
                .then_some(hubs),
        }
    }

    /// Servers that leave, for a hub that does not know which of the others have left. The
    /// position makes the follower ask for all records again.
    fn known_departures(&self, now: time::Instant) -> registry::ChangeSet {
        let mut records = self.registry.records(now);
        records.retain(|record| record.phase != registry::Phase::Serving);
        let position = ids::ChangePosition::default();
        registry::ChangeSet { position, records }
    }

    /// The reachable control VMs, this one included.
    pub(super) fn hubs(&self, now: time::Instant) -> Vec<hub::HubInfo> {
        let timeout = self.config.peer_timeout;
        let is_reachable = |peer: &&hub::peer::Peer| peer.is_reachable(timeout, now);
        let peers = self.peers.values().filter(is_reachable);
        let mut hubs: Vec<_> = peers.filter_map(|peer| peer.info.clone()).collect();
        hubs.push(self.own.clone());
        hubs
    }
}
