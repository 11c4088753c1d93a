//! Announcements received directly from backend servers.

use std::time;

use crate::{backend, ids, lease, roster, sorted, view};

#[derive(Clone, Debug)]
struct Received {
    announcement: backend::Announcement,
    received_at: time::Instant,
    /// Whether it was included in a request.
    forwarded: bool,
    /// Whether the current leader is not known to hold its content.
    pending: bool,
}

/// Received announcements that have not expired, and the known incarnations.
#[derive(Clone, Debug)]
pub(super) struct ReceivedAnnouncements {
    received: sorted::SortedMap<ids::ServerName, Received>,
    incarnations: roster::Incarnations,
    lifetime: time::Duration,
    limit: usize,
}

impl ReceivedAnnouncements {
    pub(super) fn new(config: &lease::Config) -> Self {
        Self {
            received: sorted::SortedMap::new(),
            incarnations: roster::Incarnations::new(
                config.incarnation_retention,
                config.server_limit,
            ),
            lifetime: config.announcement_lifetime,
            limit: config.server_limit,
        }
    }

    /// Records an announcement; `None` if it is not newer than the known one or the table is full.
    ///
    /// Otherwise returns whether to forward it at once. `published` is the announcement that
    /// the current leader is known to hold.
    pub(super) fn record(
        &mut self,
        announcement: &backend::Announcement,
        published: Option<&backend::Announcement>,
        now: time::Instant,
    ) -> Option<bool> {
        let known = self.received.get(&announcement.server);
        if known.is_none() && self.received.len() >= self.limit {
            return None;
        }
        if self.incarnations.admit(announcement, now) == roster::Freshness::Stale {
            return None;
        }
        let differs =
            |other: &backend::Announcement| !roster::has_same_content(other, announcement);
        let repeated = known.is_some_and(|known| !differs(&known.announcement));
        // The local record may contain an earlier announcement that the leader does not know.
        let pending = match known {
            Some(known) => known.pending || !repeated,
            None => published.is_none_or(differs),
        };
        let received = Received {
            announcement: announcement.clone(),
            received_at: now,
            forwarded: false,
            pending,
        };
        self.received.insert(announcement.server.clone(), received);
        Some(pending && !repeated)
    }

    /// Records the announcement of a backend server that the current leader holds.
    pub(super) fn note_published(
        &mut self,
        server: &str,
        published: Option<&backend::Announcement>,
    ) {
        if let Some(received) = self.received.get_mut(server) {
            let same = |published| roster::has_same_content(published, &received.announcement);
            received.pending = !published.is_some_and(same);
        }
    }

    /// Records that a new leader may not know any of the announcements.
    pub(super) fn note_new_leader(&mut self) {
        for received in self.received.values_mut() {
            received.pending = true;
        }
    }

    /// Record to keep after the leader has published one, and whether its announcement is
    /// newer than that of the leader.
    ///
    /// A new leader may not know the latest incarnation, but the owner that it publishes
    /// is authoritative.
    pub(super) fn merge(
        &mut self,
        server: &str,
        published: Option<view::ServerRecord>,
        known: Option<&view::ServerRecord>,
        now: time::Instant,
    ) -> (Option<view::ServerRecord>, bool) {
        let announcement = published.as_ref().map(|record| &record.announcement);
        self.note_published(server, announcement);
        let Some(published) = published else {
            return (None, false);
        };
        let announcement = &published.announcement;
        let is_outdated =
            |known: &view::ServerRecord| roster::is_outdated(&known.announcement, announcement);
        if known.is_some_and(is_outdated) || self.incarnations.is_outdated(announcement) {
            let kept = known.map(|known| view::ServerRecord {
                announcement: known.announcement.clone(),
                owner: published.owner,
            });
            let ahead = kept.is_some();
            return (kept, ahead);
        }
        self.incarnations.admit(announcement, now);
        (Some(published), false)
    }

    /// Adds the announcements that are to be forwarded to a request.
    ///
    /// One with changed content is repeated until the leader has published it. One with
    /// unchanged content is forwarded once, because the next follows within a second.
    pub(super) fn add_to(&mut self, request: &mut roster::RenewRequest, now: time::Instant) {
        let lifetime = self.lifetime;
        self.received
            .retain(|_, received| now < received.received_at + lifetime);
        self.incarnations.expire(now);
        for (server, received) in self.received.iter_mut() {
            let age = now.saturating_duration_since(received.received_at);
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            let announcement = &received.announcement;
            if received.pending {
                request.announcements.push(roster::ChangedAnnouncement {
                    announcement: announcement.clone(),
                    age_ms,
                });
            } else if !received.forwarded {
                request.refreshes.push(roster::Refresh {
                    server: server.clone(),
                    incarnation: announcement.incarnation,
                    sequence: announcement.sequence,
                    age_ms,
                });
            }
            received.forwarded = true;
        }
    }
}
