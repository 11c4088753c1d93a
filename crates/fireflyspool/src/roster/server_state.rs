//! The leader's state of one backend server.

use std::time;

use super::holder_key;
use crate::{backend, ids, roster, view};

/// Backend server and its owner, kept while it is announced or may be held.
#[derive(Clone, Debug)]
pub(super) struct ServerState {
    /// Latest announcement; `None` once it has expired.
    pub(super) announcement: Option<backend::Announcement>,
    /// Time of the latest announcement.
    pub(super) last_seen: time::Instant,
    /// Process that may send work to it until it releases it or its lease expires.
    pub(super) holder: Option<holder_key::HolderKey>,
    /// Processes that may hold it by a lease of an earlier term.
    pub(super) claims: Vec<holder_key::HolderKey>,
    /// Entry VM that was chosen as its owner.
    pub(super) target: Option<ids::NodeId>,
    /// Owner in the published record.
    pub(super) owner: Option<ids::NodeId>,
    /// Sequence of the latest change that published the holder as owner.
    pub(super) granted: u64,
    /// Sequence of the latest change of the published record.
    pub(super) changed: u64,
}

impl ServerState {
    pub(super) fn new(now: time::Instant) -> Self {
        Self {
            announcement: None,
            last_seen: now,
            holder: None,
            claims: Vec::new(),
            target: None,
            owner: None,
            granted: 0,
            changed: 0,
        }
    }

    /// Whether no process holds it or may hold it.
    pub(super) fn is_free(&self) -> bool {
        self.holder.is_none() && self.claims.is_empty()
    }

    /// Whether its holder must release it first.
    pub(super) fn is_moving(&self) -> bool {
        self.holder
            .is_some_and(|holder| self.target != Some(holder.node))
    }

    /// Publishes the holder as owner if it is still the target, otherwise no owner.
    ///
    /// `current` is the current process of the holder's VM: a restarted process does
    /// not take over what the earlier one holds.
    pub(super) fn publish_owner(
        &mut self,
        current: Option<holder_key::HolderKey>,
        log: &mut roster::ChangeLog,
    ) {
        let effective = self
            .holder
            .filter(|holder| self.target == Some(holder.node) && current == Some(*holder));
        let owner = effective.map(|holder| holder.node);
        if let Some(announcement) = &self.announcement
            && owner != self.owner
        {
            self.owner = owner;
            self.changed = log.push(roster::RecordKey::Server(announcement.server.clone()));
            if owner.is_some() {
                self.granted = self.changed;
            }
        }
    }

    /// Published record; `None` once the announcement has expired.
    pub(super) fn record(&self) -> Option<view::ServerRecord> {
        let announcement = self.announcement.clone()?;
        Some(view::ServerRecord {
            announcement,
            owner: self.owner,
        })
    }
}
