//! Backend servers at the leader: announcements and who may act on them.

use std::time;

use super::{content, holder_key, server_state};
use crate::{ids, roster, sorted};

/// Announced and held backend servers.
#[derive(Clone, Debug)]
pub(super) struct ServerTable {
    pub(super) states: sorted::SortedMap<ids::ServerName, server_state::ServerState>,
    incarnations: roster::Incarnations,
    lifetime: time::Duration,
    limit: usize,
}

impl ServerTable {
    pub(super) fn new(config: &roster::Config) -> Self {
        Self {
            states: sorted::SortedMap::new(),
            incarnations: roster::Incarnations::new(
                config.incarnation_retention,
                config.server_limit,
            ),
            lifetime: config.announcement_lifetime,
            limit: config.server_limit,
        }
    }

    /// Takes a changed announcement; returns whether ownership may be affected.
    pub(super) fn announce(
        &mut self,
        changed: &roster::ChangedAnnouncement,
        log: &mut roster::ChangeLog,
        now: time::Instant,
    ) -> bool {
        let announcement = &changed.announcement;
        if self.incarnations.admit(announcement, now) == roster::Freshness::Stale {
            return false;
        }
        let seen = seen_at(changed.age_ms, now);
        let name = &announcement.server;
        let known = self.states.get(name);
        let live = known.is_some_and(|state| state.announcement.is_some());
        let full = known.is_none() && self.states.len() >= self.limit;
        if !live && (full || seen + self.lifetime <= now) {
            return false;
        }
        let make = || server_state::ServerState::new(seen);
        let state = self.states.get_or_insert_with(name.clone(), make);
        state.last_seen = if live {
            state.last_seen.max(seen)
        } else {
            seen
        };
        let before = state.announcement.replace(announcement.clone());
        if before
            .as_ref()
            .is_none_or(|before| !content::has_same_content(before, announcement))
        {
            state.changed = log.push(roster::RecordKey::Server(name.clone()));
        }
        before.is_none_or(|before| before.zone != announcement.zone)
    }

    /// Takes an announcement without a change.
    pub(super) fn refresh(&mut self, refresh: &roster::Refresh, now: time::Instant) {
        if self.incarnations.refresh(refresh, now)
            && let Some(state) = self.states.get_mut(&refresh.server)
        {
            state.last_seen = state.last_seen.max(seen_at(refresh.age_ms, now));
        }
    }

    /// Drops announcements that have expired; returns whether there were any.
    pub(super) fn expire(&mut self, log: &mut roster::ChangeLog, now: time::Instant) -> bool {
        self.incarnations.expire(now);
        let lifetime = self.lifetime;
        let mut any = false;
        for (name, state) in self.states.iter_mut() {
            if state.announcement.is_some() && state.last_seen + lifetime <= now {
                state.announcement = None;
                state.target = None;
                state.owner = None;
                state.changed = log.push(roster::RecordKey::Server(name.clone()));
                any = true;
            }
        }
        self.drop_unused();
        any
    }

    /// Forgets backend servers that are neither announced nor possibly held.
    pub(super) fn drop_unused(&mut self) {
        self.states
            .retain(|_, state| state.announcement.is_some() || !state.is_free());
    }

    /// Earliest time at which an announcement expires.
    pub(super) fn next_end(&self) -> Option<time::Instant> {
        let live = self
            .states
            .values()
            .filter(|state| state.announcement.is_some());
        live.map(|state| state.last_seen + self.lifetime).min()
    }

    /// Notes that a process may hold a backend server by a lease of an earlier term.
    pub(super) fn claim(
        &mut self,
        server: &str,
        key: holder_key::HolderKey,
        now: time::Instant,
    ) -> bool {
        let make = || server_state::ServerState::new(now);
        let state = self.states.get_or_insert_with(server.to_owned(), make);
        let open = state.holder.is_none();
        if open && !state.claims.contains(&key) {
            state.claims.push(key);
        }
        open
    }

    /// Confirms that a process holds a backend server; returns whether that is new.
    ///
    /// The process has read a reply of this term and still holds it, so by the
    /// rules of the earlier term no other process does. Once the leader has
    /// settled, only a claim made before that can be confirmed: what was not
    /// claimed by then may have been assigned.
    pub(super) fn confirm(
        &mut self,
        server: &str,
        key: holder_key::HolderKey,
        settled: bool,
        now: time::Instant,
    ) -> bool {
        if !settled {
            self.claim(server, key, now);
        }
        let Some(state) = self.states.get_mut(server) else {
            return false;
        };
        let claimed = state.holder.is_none() && state.claims.contains(&key);
        if claimed {
            state.claims.clear();
            state.holder = Some(key);
            state.target = Some(key.node);
        }
        claimed
    }

    /// Handles that a process no longer holds a backend server.
    ///
    /// `seen` is the sequence of this term that the process has read; an earlier
    /// one than that of its grant says nothing. `None` stands for an ended lease.
    /// Returns whether the backend server became free.
    pub(super) fn release(
        &mut self,
        server: &str,
        key: holder_key::HolderKey,
        seen: Option<u64>,
    ) -> bool {
        let Some(state) = self.states.get_mut(server) else {
            return false;
        };
        state.claims.retain(|claim| *claim != key);
        if state.holder == Some(key) && seen.is_none_or(|seen| seen >= state.granted) {
            state.holder = None;
        }
        state.is_free()
    }

    /// Record of a backend server as of a logged change; `None` if a later change replaces it.
    pub(super) fn change(&self, server: &str, logged: u64) -> Option<roster::ServerChange> {
        let state = self.states.get(server);
        let latest = state.is_none_or(|state| state.changed == logged);
        latest.then(|| roster::ServerChange {
            sequence: logged,
            server: server.to_owned(),
            record: state.and_then(server_state::ServerState::record),
        })
    }

    /// All records.
    pub(super) fn changes(&self) -> impl Iterator<Item = roster::ServerChange> {
        let live = |(name, state): (&ids::ServerName, &server_state::ServerState)| {
            let record = state.record()?;
            Some(roster::ServerChange {
                sequence: state.changed,
                server: name.clone(),
                record: Some(record),
            })
        };
        self.states.iter().filter_map(live)
    }
}

fn seen_at(age_ms: u64, now: time::Instant) -> time::Instant {
    let age = time::Duration::from_millis(age_ms);
    now.checked_sub(age).unwrap_or(now)
}
