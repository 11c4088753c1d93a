//! One backend server at the leader.

use std::time;

use super::holder_key;
use crate::{backend, ids, roster, view};

/// Backend server with its owner, present while it is announced or may be held.
#[derive(Clone, Debug)]
pub(super) struct ServerState {
    /// Latest announcement; `None` once it has expired.
    pub(super) announcement: Option<backend::Announcement>,
    pub(super) last_seen: time::Instant,
    /// Process that may act on it until it releases it or its lease ends.
    pub(super) holder: Option<holder_key::HolderKey>,
    /// Processes that may hold it by a lease of an earlier term.
    pub(super) claims: Vec<holder_key::HolderKey>,
    /// Entry VM that shall own it.
    pub(super) target: Option<ids::NodeId>,
    /// Owner in the published record.
    pub(super) owner: Option<ids::NodeId>,
    /// Change that last published the present holder as owner.
    pub(super) granted: u64,
    /// Change that last altered the published record.
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

    /// Whether no lease of an earlier term or of this one covers it.
    pub(super) fn is_free(&self) -> bool {
        self.holder.is_none() && self.claims.is_empty()
    }

    /// Whether it waits for its holder to release it.
    pub(super) fn is_moving(&self) -> bool {
        self.holder
            .is_some_and(|holder| self.target != Some(holder.node))
    }

    /// Publishes the owner that follows from holder and target.
    ///
    /// `current` is the current process of the holder's VM: a restarted process
    /// does not inherit what the earlier one holds.
    pub(super) fn publish_owner(
        &mut self,
        current: Option<holder_key::HolderKey>,
        log: &mut roster::ChangeLog,
    ) {
        let acting = self
            .holder
            .filter(|holder| self.target == Some(holder.node) && current == Some(*holder));
        let owner = acting.map(|holder| holder.node);
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

    /// Published record.
    pub(super) fn record(&self) -> Option<view::ServerRecord> {
        let announcement = self.announcement.clone()?;
        Some(view::ServerRecord {
            announcement,
            owner: self.owner,
        })
    }
}
