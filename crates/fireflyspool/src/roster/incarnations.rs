//! Memory of the incarnations of backend servers.

use std::time;

use crate::{backend, ids, roster, sorted};

#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: ids::Incarnation,
    sequence: u64,
    leaving: bool,
    at: time::Instant,
}

/// Newest announcement position of every backend server, also of gone ones.
///
/// A name is forgotten once nothing newer was seen for the configured time, or
/// earlier, the longest unseen first, when there are more names than the limit.
/// Only then could an older incarnation be taken for a new one.
#[derive(Clone, Debug)]
pub struct Incarnations {
    seen: sorted::SortedMap<ids::ServerName, Seen>,
    memory: time::Duration,
    limit: usize,
}

impl Incarnations {
    /// An empty memory with its bounds in time and number.
    pub fn new(memory: time::Duration, limit: usize) -> Self {
        Self {
            seen: sorted::SortedMap::new(),
            memory,
            limit,
        }
    }

    /// Compares an announcement with what is remembered and remembers it if it is newer.
    pub fn admit(
        &mut self,
        announcement: &backend::Announcement,
        now: time::Instant,
    ) -> roster::Freshness {
        let freshness = self.compare(announcement);
        if freshness != roster::Freshness::Stale {
            self.remember(announcement, now);
        }
        freshness
    }

    /// Notes a newer sequence of the remembered incarnation; returns whether it was newer.
    pub fn refresh(&mut self, refresh: &roster::Refresh, now: time::Instant) -> bool {
        let Some(seen) = self.seen.get_mut(&refresh.server) else {
            return false;
        };
        let newer = seen.incarnation == refresh.incarnation && seen.sequence < refresh.sequence;
        if newer {
            seen.sequence = refresh.sequence;
            seen.at = now;
        }
        newer
    }

    /// Whether a record is older than what is remembered: an older incarnation, or not
    /// `leaving` although its incarnation was.
    pub fn is_outdated(&self, announcement: &backend::Announcement) -> bool {
        self.seen.get(&announcement.server).is_some_and(|seen| {
            let left = seen.leaving && announcement.phase != backend::Phase::Leaving;
            announcement.incarnation < seen.incarnation
                || (announcement.incarnation == seen.incarnation && left)
        })
    }

    /// Forgets names that were not seen for the configured time.
    pub fn expire(&mut self, now: time::Instant) {
        let memory = self.memory;
        self.seen.retain(|_, seen| now < seen.at + memory);
    }

    fn compare(&self, announcement: &backend::Announcement) -> roster::Freshness {
        let Some(seen) = self.seen.get(&announcement.server) else {
            return roster::Freshness::NewIncarnation;
        };
        if announcement.incarnation > seen.incarnation {
            return roster::Freshness::NewIncarnation;
        }
        if self.is_outdated(announcement) || announcement.sequence <= seen.sequence {
            return roster::Freshness::Stale;
        }
        roster::Freshness::Newer
    }

    fn remember(&mut self, announcement: &backend::Announcement, now: time::Instant) {
        let seen = Seen {
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            leaving: announcement.phase == backend::Phase::Leaving,
            at: now,
        };
        self.seen.insert(announcement.server.clone(), seen);
        if self.seen.len() > self.limit {
            let oldest = self.seen.iter().min_by_key(|(_, seen)| seen.at);
            if let Some(server) = oldest.map(|(server, _)| server.clone()) {
                self.seen.remove(&server);
            }
        }
    }
}
