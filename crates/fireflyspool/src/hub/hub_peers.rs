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
        for record in batch.members {
            let last_seen = now
                .checked_sub(time::Duration::from_millis(record.age_ms))
                .unwrap_or(now);
            self.update_member(record.member, last_seen, false);
        }
        hub::Ack {
            incarnation: self.own.incarnation,
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
            return;
        };
        peer.paused_until = None;
        peer.last_seen = Some(now);
        if peer
            .incarnation
            .is_some_and(|known| known == ack.incarnation)
        {
            peer.acked = peer.acked.max(covered.unwrap_or(0));
        } else if peer.incarnation.is_none() && peer.acked == 0 {
            peer.incarnation = Some(ack.incarnation);
            peer.acked = covered.unwrap_or(0);
        } else {
            // The peer restarted and holds only what the last batch carried.
            peer.incarnation = Some(ack.incarnation);
            peer.acked = 0;
            peer.regular_sent = None;
        }
    }

    pub(super) fn exchange_due(&mut self, now: time::Instant) {
        let position = self.registry.position();
        let interval = self.config.exchange_interval;
        let ready = |peer: &hub::peer::Peer| {
            let behind =
                peer.acked < position || peer.sent_outliers != self.outliers.own_revision();
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
            self.send_batch(listener, now);
        }
    }

    fn send_batch(&mut self, listener: net::SocketAddr, now: time::Instant) {
        let regular = self.peers.get(&listener).and_then(|peer| peer.regular_sent);
        let interval = self.config.exchange_interval;
        let regular = regular.is_none_or(|sent| now.saturating_duration_since(sent) >= interval);
        // A batch sent ahead of the interval carries changes only.
        let members = match regular {
            true => self.followers(now),
            false => Vec::new(),
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
        peer.in_flight = Some(changes.position);
        if regular {
            peer.regular_sent = Some(now);
        }
        peer.sent_outliers = self.outliers.own_revision();
        let batch = hub::Batch {
            from: self.own.clone(),
            version: self.version(),
            revision: self.zones.revision,
            records: changes.records,
            refreshes,
            outliers: self.outliers.own(),
            members,
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
        let newer = |peer: &hub::peer::Peer| peer.version > version || peer.revision > revision;
        match self.peers.values().any(newer) {
            true => {
                self.behind_since.get_or_insert(now);
            }
            false => self.behind_since = None,
        }
    }

    fn followers(&self, now: time::Instant) -> Vec<hub::MemberRecord> {
        let follows = self.members.values().filter(|known| known.follows);
        let record = |known: &hub::known_member::KnownMember| {
            let age = now.saturating_duration_since(known.last_seen).as_millis();
            hub::MemberRecord {
                member: known.member.clone(),
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            }
        };
        follows.map(record).collect()
    }
}
