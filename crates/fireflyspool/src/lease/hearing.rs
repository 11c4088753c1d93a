//! Announcements that this process received itself.

use std::time;

use crate::{backend, ids, lease, roster, sorted, view};

#[derive(Clone, Debug)]
struct Heard {
    announcement: backend::Announcement,
    at: time::Instant,
    reported: bool,
    /// Whether the leader is not known to hold this content.
    pending: bool,
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
            incarnations: roster::Incarnations::new(
                config.incarnation_retention,
                config.server_limit,
            ),
            lifetime: config.announcement_lifetime,
            limit: config.server_limit,
        }
    }

    /// Takes an announcement; `None` if it is not newer than what is remembered.
    ///
    /// Otherwise returns whether it is to be forwarded at once. `shown` is the
    /// announcement that the current leader is known to hold.
    pub(super) fn hear(
        &mut self,
        announcement: &backend::Announcement,
        shown: Option<&backend::Announcement>,
        now: time::Instant,
    ) -> Option<bool> {
        let known = self.heard.get(&announcement.server);
        if known.is_none() && self.heard.len() >= self.limit {
            return None;
        }
        if self.incarnations.admit(announcement, now) == roster::Freshness::Stale {
            return None;
        }
        let differs =
            |other: &backend::Announcement| !roster::has_same_content(other, announcement);
        let repeated = known.is_some_and(|known| !differs(&known.announcement));
        // What was heard before may be in the record without the leader knowing it.
        let pending = match known {
            Some(known) => known.pending || !repeated,
            None => shown.is_none_or(differs),
        };
        let heard = Heard {
            announcement: announcement.clone(),
            at: now,
            reported: false,
            pending,
        };
        self.heard.insert(announcement.server.clone(), heard);
        Some(pending && !repeated)
    }

    /// Notes what the current leader holds of a backend server.
    pub(super) fn note_shown(&mut self, server: &str, shown: Option<&backend::Announcement>) {
        if let Some(heard) = self.heard.get_mut(server) {
            let same = |shown| roster::has_same_content(shown, &heard.announcement);
            heard.pending = !shown.is_some_and(same);
        }
    }

    /// Notes that a new leader may hold nothing.
    pub(super) fn note_new_leader(&mut self) {
        for heard in self.heard.values_mut() {
            heard.pending = true;
        }
    }

    /// Record to hold after the leader has published one, and whether its announcement is
    /// newer than the leader's.
    ///
    /// A new leader may not know the latest incarnation; its choice of the owner still counts.
    pub(super) fn merge(
        &mut self,
        server: &str,
        published: Option<view::ServerRecord>,
        known: Option<&view::ServerRecord>,
        now: time::Instant,
    ) -> (Option<view::ServerRecord>, bool) {
        let shown = published.as_ref().map(|record| &record.announcement);
        self.note_shown(server, shown);
        let Some(published) = published else {
            return (None, false);
        };
        let announcement = &published.announcement;
        let regresses =
            |known: &view::ServerRecord| roster::is_outdated(&known.announcement, announcement);
        if known.is_some_and(regresses) || self.incarnations.is_outdated(announcement) {
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

    /// Adds what is to be forwarded to a request.
    ///
    /// A change is repeated until the leader has published it; an announcement
    /// without a change is forwarded once, because another follows within a second.
    pub(super) fn forward(&mut self, request: &mut roster::RenewRequest, now: time::Instant) {
        let lifetime = self.lifetime;
        self.heard.retain(|_, heard| now < heard.at + lifetime);
        self.incarnations.expire(now);
        for (server, heard) in self.heard.iter_mut() {
            let age = now.saturating_duration_since(heard.at);
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            let announcement = &heard.announcement;
            if heard.pending {
                request.announcements.push(roster::ChangedAnnouncement {
                    announcement: announcement.clone(),
                    age_ms,
                });
            } else if !heard.reported {
                request.refreshes.push(roster::Refresh {
                    server: server.clone(),
                    incarnation: announcement.incarnation,
                    sequence: announcement.sequence,
                    age_ms,
                });
            }
            heard.reported = true;
        }
    }
}
