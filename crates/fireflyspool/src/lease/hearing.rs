//! Announcements that this process received itself.

use std::time;

use crate::{backend, ids, lease, roster, sorted, view};

#[derive(Clone, Debug)]
struct Heard {
    announcement: backend::Announcement,
    at: time::Instant,
    reported: bool,
}

/// Received announcements that have not expired, and the memory of incarnations.
#[derive(Clone, Debug)]
pub(super) struct Hearing {
    heard: sorted::SortedMap<ids::ServerName, Heard>,
    incarnations: roster::Incarnations,
    lifetime: time::Duration,
    limit: usize,
}

impl Hearing {
    pub(super) fn new(config: &lease::Config) -> Self {
        Self {
            heard: sorted::SortedMap::new(),
            incarnations: roster::Incarnations::new(config.incarnation_memory, config.server_limit),
            lifetime: config.announcement_lifetime,
            limit: config.server_limit,
        }
    }

    /// Takes an announcement; returns whether it is to be forwarded at once.
    pub(super) fn hear(
        &mut self,
        announcement: &backend::Announcement,
        record: Option<&view::ServerRecord>,
        now: time::Instant,
    ) -> bool {
        let known = self.heard.get(&announcement.server);
        if known.is_none() && self.heard.len() >= self.limit {
            return false;
        }
        if self.incarnations.admit(announcement, now) == roster::Freshness::Stale {
            return false;
        }
        let before = known.map(|heard| &heard.announcement);
        let before = before.or(record.map(|record| &record.announcement));
        let changed = before.is_none_or(|before| !roster::is_same(before, announcement));
        let heard = Heard {
            announcement: announcement.clone(),
            at: now,
            reported: false,
        };
        self.heard.insert(announcement.server.clone(), heard);
        changed
    }

    /// Whether a published record is older than what is remembered.
    pub(super) fn is_outdated(&self, announcement: &backend::Announcement) -> bool {
        self.incarnations.is_outdated(announcement)
    }

    /// Remembers the announcement of a published record.
    pub(super) fn remember(&mut self, announcement: &backend::Announcement, now: time::Instant) {
        self.incarnations.admit(announcement, now);
    }

    /// Adds what is to be forwarded to a request.
    ///
    /// A change is repeated until the roster shows it; an announcement without
    /// a change is forwarded once, because another follows within a second.
    pub(super) fn forward(
        &mut self,
        records: &sorted::SortedMap<ids::ServerName, view::ServerRecord>,
        request: &mut roster::RenewRequest,
        now: time::Instant,
    ) {
        let lifetime = self.lifetime;
        self.heard.retain(|_, heard| now < heard.at + lifetime);
        self.incarnations.expire(now);
        for (server, heard) in self.heard.iter_mut() {
            let age = now.saturating_duration_since(heard.at);
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            let announcement = &heard.announcement;
            let shown = records
                .get(server)
                .is_some_and(|record| roster::is_same(&record.announcement, announcement));
            if !shown {
                request.news.push(roster::News {
                    announcement: announcement.clone(),
                    age_ms,
                });
            } else if !heard.reported {
                request.sightings.push(roster::Sighting {
                    server: server.clone(),
                    incarnation: announcement.incarnation,
                    sequence: announcement.sequence,
                    age_ms,
                });
            }
            heard.reported = true;
        }
    }

    /// Announcements that show a record's incarnation as leaving or ended.
    pub(super) fn ahead<'a>(
        &'a self,
        records: &'a sorted::SortedMap<ids::ServerName, view::ServerRecord>,
    ) -> impl Iterator<Item = &'a backend::Announcement> {
        let announcements = self.heard.values().map(|heard| &heard.announcement);
        announcements.filter(|announcement| {
            records.get(&announcement.server).is_some_and(|record| {
                let published = &record.announcement;
                let leaves = announcement.phase == backend::Phase::Leaving
                    && published.phase != backend::Phase::Leaving;
                announcement.incarnation > published.incarnation
                    || (announcement.incarnation == published.incarnation && leaves)
            })
        })
    }
}
