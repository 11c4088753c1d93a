//! Latest known incarnations of backend servers.

use std::time;

use crate::{backend, ids, roster, sorted};

#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: ids::Incarnation,
    sequence: u64,
    leaving: bool,
    seen_at: time::Instant,
}

/// Newest incarnation and sequence of every backend server, including dropped ones.
///
/// An entry is removed once nothing newer was seen for the retention time, or earlier,
/// least recently seen first, if there are more entries than the limit. Only after
/// that could an older incarnation be taken for a new one.
#[derive(Clone, Debug)]
pub struct Incarnations {
    seen: sorted::SortedMap<ids::ServerName, Seen>,
    retention: time::Duration,
    limit: usize,
}

impl Incarnations {
    /// An empty table with its retention time and maximum number of entries.
    pub fn new(retention: time::Duration, limit: usize) -> Self {
        Self {
            seen: sorted::SortedMap::new(),
            retention,
            limit,
        }
    }

    /// Compares an announcement with the known state and records it if it is newer.
    pub fn admit(
        &mut self,
        announcement: &backend::Announcement,
        now: time::Instant,
    ) -> roster::Freshness {
        let freshness = self.compare(announcement);
        if freshness != roster::Freshness::Stale {
            self.record(announcement, now);
        }
        freshness
    }

    /// Records a newer sequence of the known incarnation; returns whether it was newer.
    pub fn refresh(&mut self, refresh: &roster::Refresh, now: time::Instant) -> bool {
        let Some(seen) = self.seen.get_mut(&refresh.server) else {
            return false;
        };
        let newer = seen.incarnation == refresh.incarnation && seen.sequence < refresh.sequence;
        if newer {
            seen.sequence = refresh.sequence;
            seen.seen_at = now;
        }
        newer
    }

    /// Whether an announcement is of an older incarnation, or not `leaving` although its
    /// incarnation was.
    pub fn is_outdated(&self, announcement: &backend::Announcement) -> bool {
        self.seen.get(&announcement.server).is_some_and(|seen| {
            let no_longer_leaving = seen.leaving && announcement.phase != backend::Phase::Leaving;
            announcement.incarnation < seen.incarnation
                || (announcement.incarnation == seen.incarnation && no_longer_leaving)
        })
    }

    /// Removes backend servers that were not seen for the retention time.
    pub fn expire(&mut self, now: time::Instant) {
        let retention = self.retention;
        self.seen.retain(|_, seen| now < seen.seen_at + retention);
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

    fn record(&mut self, announcement: &backend::Announcement, now: time::Instant) {
        let seen = Seen {
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            leaving: announcement.phase == backend::Phase::Leaving,
            seen_at: now,
        };
        self.seen.insert(announcement.server.clone(), seen);
        if self.seen.len() > self.limit {
            let oldest = self.seen.iter().min_by_key(|(_, seen)| seen.seen_at);
            if let Some(server) = oldest.map(|(server, _)| server.clone()) {
                self.seen.remove(&server);
            }
        }
    }
}
