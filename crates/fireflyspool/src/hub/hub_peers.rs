//! Exchange of batches with the other hubs.

use std::{net, time};

use crate::{hub, registry};

impl hub::Hub {
    pub(super) fn add_peer(&mut self, listener: net::SocketAddr) {
        if listener != self.own.rpc {
            self.peers
                .get_or_insert_with(listener, hub::peer::Peer::default);
        }
    }

    /// Merges a batch of another hub.
    pub fn receive_batch(&mut self, batch: hub::Batch, now: time::Instant) -> hub::Ack {
        let listener = batch.from.rpc;
        self.add_peer(listener);
        if let Some(peer) = self.peers.get_mut(&listener) {
            peer.last_seen = Some(now);
            peer.info = Some(batch.from);
            peer.version = batch.version;
            peer.revision = batch.revision;
            peer.rollout_revision = batch.rollout_revision;
        }
        for record in batch.records {
            self.registry.merge_record(record, now);
        }
        for refresh in &batch.refreshes {
            self.registry.refresh(refresh, now);
        }
        for server in batch.outliers {
            self.outliers.merge_listed(server, now);
        }
        for record in batch.contents {
            self.contents.merge(record, now);
        }
        let time_before = |age_ms| {
            let age = time::Duration::from_millis(age_ms);
            now.checked_sub(age).unwrap_or(now)
        };
        for record in batch.members {
            self.update_member(record.member, time_before(record.age_ms), false);
        }
        for (callers, age_ms) in batch.member_sightings {
            let known = self.members.get(&callers);
            if let Some(member) = known.map(|known| known.member.clone()) {
                self.update_member(member, time_before(age_ms), false);
            }
        }
        hub::Ack {
            incarnation: self.own.incarnation,
            sightings: true,
            log: self
                .log
                .as_ref()
                .filter(|log| log.votes)
                .map(|log| log.tail),
        }
    }

    /// Handles the end of an exchange; `ack` is `None` if no acknowledgement arrived.
    pub fn exchange_ended(
        &mut self,
        listener: net::SocketAddr,
        ack: Option<&hub::Ack>,
        now: time::Instant,
    ) {
        let Some(peer) = self.peers.get_mut(&listener) else {
            return;
        };
        let covered = peer.in_flight.take();
        let Some(ack) = ack else {
            peer.paused_until = Some(now + self.config.retry_pause);
            // It forgets entry VMs that it does not hear of for long.
            peer.followers = None;
            return;
        };
        peer.paused_until = None;
        peer.last_seen = Some(now);
        if let (Some(covered), Some(tail)) = (covered, ack.log) {
            let sent = covered.sent;
            peer.proof = Some(hub::proof::Proof { sent, tail });
        }
        let first = peer.incarnation.is_none() && peer.acked == 0;
        if first || peer.incarnation == Some(ack.incarnation) {
            peer.incarnation = Some(ack.incarnation);
            let covered_position = covered.map_or(0, |covered| covered.position);
            peer.acked = peer.acked.max(covered_position);
            let covered_contents = covered.map_or(0, |covered| covered.contents);
            peer.acked_contents = peer.acked_contents.max(covered_contents);
            let covered_followers = covered.and_then(|covered| covered.followers);
            if ack.sightings {
                peer.followers = peer.followers.max(covered_followers);
            }
        } else {
            // The peer restarted and holds only what the last batch carried.
            peer.incarnation = Some(ack.incarnation);
            peer.acked = 0;
            peer.acked_contents = 0;
            peer.followers = None;
            peer.regular_sent = None;
        }
    }

    pub(super) fn exchange_due(&mut self, now: time::Instant, boot: time::Duration) {
        let position = self.registry.position();
        let interval = self.config.exchange_interval;
        let ready = |peer: &hub::peer::Peer| {
            let behind = peer.acked < position
                || peer.acked_contents < self.contents.urgent_position()
                || peer.sent_outliers != self.outliers.own_revision();
            let urgent = behind && peer.is_reachable(self.config.peer_timeout, now);
            peer.may_send(now) && (urgent || peer.due(interval).is_none_or(|due| due <= now))
        };
        let due: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| ready(peer))
            .map(|(listener, _)| *listener)
            .collect();
        for listener in due {
            self.send_batch(listener, now, boot);
        }
    }

    fn send_batch(&mut self, listener: net::SocketAddr, now: time::Instant, boot: time::Duration) {
        let regular = self.peers.get(&listener).and_then(|peer| peer.regular_sent);
        let interval = self.config.exchange_interval;
        let regular = regular.is_none_or(|sent| now.saturating_duration_since(sent) >= interval);
        // A batch sent ahead of the interval carries changes only.
        let (members, member_sightings) = match regular {
            true => self.followers(listener, now),
            false => (Vec::new(), Vec::new()),
        };
        let Some(peer) = self.peers.get_mut(&listener) else {
            return;
        };
        let changes = self.registry.since(peer.acked, now);
        let refreshed = std::mem::take(&mut peer.refreshed);
        let refreshed = refreshed
            .keys()
            .filter_map(|name| self.registry.record(name, now));
        let refreshes = refreshed
            .map(|record| registry::Refresh::of(&record))
            .collect();
        peer.in_flight = Some(hub::covered::Covered {
            position: changes.position,
            contents: self.contents.position(),
            followers: regular.then_some(self.follower_revision),
            sent: boot,
        });
        if regular {
            peer.regular_sent = Some(now);
        }
        let contents = self.contents.since(peer.acked_contents, now);
        peer.sent_outliers = self.outliers.own_revision();
        let batch = hub::Batch {
            from: self.own.clone(),
            version: self.version(),
            revision: self.zones.revision,
            rollout_revision: self.rollouts.revision(),
            records: changes.records,
            refreshes,
            outliers: self.outliers.own(),
            contents,
            members,
            member_sightings,
        };
        let batch = Box::new(batch);
        self.actions.push(hub::Action::Exchange {
            peer: listener,
            batch,
        });
    }

    /// Records since when another hub has held a newer configuration or catalog.
    pub(super) fn track_lag(&mut self, now: time::Instant) {
        let (version, revision) = (self.version(), self.zones.revision);
        let rollouts = self.rollouts.revision();
        let newer = |peer: &hub::peer::Peer| {
            peer.version > version || peer.revision > revision || peer.rollout_revision > rollouts
        };
        match self.peers.values().any(newer) {
            true => {
                self.behind_since.get_or_insert(now);
            }
            false => self.behind_since = None,
        }
    }

    /// Followers whose record a peer lacks, and the others with the age of their last poll
    /// in milliseconds.
    fn followers(
        &self,
        peer: net::SocketAddr,
        now: time::Instant,
    ) -> (Vec<hub::MemberRecord>, Vec<(net::SocketAddr, u64)>) {
        let known_revision = self.peers.get(&peer).and_then(|peer| peer.followers);
        let (mut records, mut sightings) = (Vec::new(), Vec::new());
        for known in self.members.values().filter(|known| known.follows) {
            let age = now.saturating_duration_since(known.last_seen).as_millis();
            let age_ms = u64::try_from(age).unwrap_or(u64::MAX);
            if known_revision.is_some_and(|revision| known.revision <= revision) {
                sightings.push((known.member.callers, age_ms));
            } else {
                let member = known.member.clone();
                records.push(hub::MemberRecord { member, age_ms });
            }
        }
        (records, sightings)
    }
}
