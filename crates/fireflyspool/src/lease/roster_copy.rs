//! Copy of the roster at a holder.

use std::sync;

use crate::{backend, ids, roster, sorted, view};

/// Roster records as published by the leader, with newer announcements received here.
#[derive(Clone, Debug, Default)]
pub(super) struct RosterCopy {
    /// Version of the records; `None` asks for the whole roster.
    pub(super) version: Option<roster::Version>,
    /// Greatest version ever applied.
    pub(super) newest: roster::Version,
    pub(super) members: sync::Arc<sorted::SortedMap<ids::NodeId, view::Member>>,
    pub(super) servers: sync::Arc<sorted::SortedMap<ids::ServerName, view::ServerRecord>>,
    pub(super) suspects: sync::Arc<sorted::SortedMap<ids::Fingerprint, u32>>,
    /// Backend servers whose announcement is newer here than at the leader, as a set.
    ahead: sorted::SortedMap<ids::ServerName, ()>,
    /// Records that the current leader has not published since its last whole update.
    unlisted: Unlisted,
}

#[derive(Clone, Debug, Default)]
struct Unlisted {
    members: sorted::SortedMap<ids::NodeId, ()>,
    servers: sorted::SortedMap<ids::ServerName, ()>,
    suspects: sorted::SortedMap<ids::Fingerprint, ()>,
}

impl RosterCopy {
    /// Whether an update is whole or follows the held version without a gap.
    pub(super) fn fits(&self, update: &roster::Update) -> bool {
        let held = self.version.filter(|held| held.term == update.version.term);
        update.base == 0 || held.is_some_and(|held| update.base <= held.sequence)
    }

    /// Whether a change was not applied before.
    pub(super) fn is_new(&self, update: &roster::Update, sequence: u64) -> bool {
        let held = self.version.filter(|held| held.term == update.version.term);
        held.is_none_or(|held| sequence > held.sequence)
    }

    /// Applies changes of members and suspects, and records which records the leader published.
    pub(super) fn apply(&mut self, update: &roster::Update) {
        if update.base == 0 {
            self.mark_unlisted();
        }
        let new = |sequence| self.is_new(update, sequence);
        let members: Vec<_> = update.members.iter().filter(|c| new(c.sequence)).collect();
        let suspects: Vec<_> = update.suspects.iter().filter(|c| new(c.sequence)).collect();
        if !members.is_empty() {
            let records = sync::Arc::make_mut(&mut self.members);
            for change in members {
                match &change.record {
                    Some(record) => records.insert(change.node, record.clone()),
                    None => records.remove(&change.node),
                };
            }
        }
        if !suspects.is_empty() {
            let records = sync::Arc::make_mut(&mut self.suspects);
            for change in suspects {
                if change.crashes > 0 {
                    records.insert(change.fingerprint, change.crashes);
                } else {
                    records.remove(&change.fingerprint);
                }
            }
        }
        for change in &update.members {
            self.unlisted.members.remove(&change.node);
        }
        for change in &update.servers {
            self.unlisted.servers.remove(&change.server);
        }
        for change in &update.suspects {
            self.unlisted.suspects.remove(&change.fingerprint);
        }
    }

    /// Record of a backend server if the current leader is known to hold the same one.
    pub(super) fn published_server(&self, server: &str) -> Option<&view::ServerRecord> {
        let record = self.servers.get(server)?;
        let differs = self.unlisted.servers.contains_key(server) || self.ahead.contains_key(server);
        (!differs).then_some(record)
    }

    /// Replaces the announcement of a known backend server.
    pub(super) fn set_announcement(&mut self, announcement: &backend::Announcement) {
        if self.servers.contains_key(&announcement.server) {
            let records = sync::Arc::make_mut(&mut self.servers);
            if let Some(record) = records.get_mut(&announcement.server) {
                record.announcement = announcement.clone();
                self.ahead.insert(announcement.server.clone(), ());
            }
        }
    }

    /// Sets or removes the record of a backend server.
    ///
    /// `ahead` is whether its announcement is newer than that of the leader.
    pub(super) fn set_server(
        &mut self,
        server: &str,
        record: Option<view::ServerRecord>,
        ahead: bool,
    ) {
        if ahead {
            self.ahead.insert(server.to_owned(), ());
        } else {
            self.ahead.remove(server);
        }
        let records = sync::Arc::make_mut(&mut self.servers);
        match record {
            Some(record) => records.insert(server.to_owned(), record),
            None => records.remove(server),
        };
    }

    /// Removes the owner of a backend server from its record.
    pub(super) fn clear_owner(&mut self, server: &str) {
        let records = sync::Arc::make_mut(&mut self.servers);
        if let Some(record) = records.get_mut(server) {
            record.owner = None;
        }
    }

    /// Drops records that a settled leader has not published; returns the dropped backend servers.
    pub(super) fn drop_unlisted(&mut self) -> Vec<ids::ServerName> {
        let unlisted = std::mem::take(&mut self.unlisted);
        if !unlisted.members.is_empty() {
            let gone = |node: &_| unlisted.members.contains_key(node);
            sync::Arc::make_mut(&mut self.members).retain(|node, _| !gone(node));
        }
        if !unlisted.suspects.is_empty() {
            let gone = |fingerprint: &_| unlisted.suspects.contains_key(fingerprint);
            sync::Arc::make_mut(&mut self.suspects).retain(|fingerprint, _| !gone(fingerprint));
        }
        if !unlisted.servers.is_empty() {
            let gone = |server: &String| unlisted.servers.contains_key(server);
            sync::Arc::make_mut(&mut self.servers).retain(|server, _| !gone(server));
            self.ahead.retain(|server, _| !gone(server));
        }
        unlisted.servers.keys().cloned().collect()
    }

    fn mark_unlisted(&mut self) {
        self.unlisted = Unlisted {
            members: self.members.keys().map(|node| (*node, ())).collect(),
            servers: self.servers.keys().map(|name| (name.clone(), ())).collect(),
            suspects: self
                .suspects
                .keys()
                .map(|fingerprint| (*fingerprint, ()))
                .collect(),
        };
    }
}
