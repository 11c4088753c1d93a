//! The leader's table of backend servers.

use std::time;

use super::{content, holder_key, server_state};
use crate::{ids, roster, sorted};

/// Backend servers that are announced or may be held.
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

    /// Handles an announcement with changed content; returns whether ownership may be affected.
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
        let create = || server_state::ServerState::new(seen);
        let state = self.states.get_or_insert_with(name.clone(), create);
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

    /// Handles an announcement with unchanged content.
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

    /// Removes backend servers that are neither announced nor held nor claimed.
    pub(super) fn drop_unused(&mut self) {
        self.states
            .retain(|_, state| state.announcement.is_some() || !state.is_free());
    }

    /// Earliest expiry of an announcement.
    pub(super) fn next_expiry(&self) -> Option<time::Instant> {
        let live = self
            .states
            .values()
            .filter(|state| state.announcement.is_some());
        live.map(|state| state.last_seen + self.lifetime).min()
    }

    /// Records that a process may hold a backend server by a lease of an earlier term.
    ///
    /// Returns false if the backend server already has a confirmed holder.
    pub(super) fn claim(
        &mut self,
        server: &str,
        key: holder_key::HolderKey,
        now: time::Instant,
    ) -> bool {
        let create = || server_state::ServerState::new(now);
        let state = self.states.get_or_insert_with(server.to_owned(), create);
        let unheld = state.holder.is_none();
        if unheld && !state.claims.contains(&key) {
            state.claims.push(key);
        }
        unheld
    }

    /// Confirms that a process holds a backend server; returns whether that is new.
    ///
    /// The process has read a reply of this term and still holds it, so by the
    /// ownership rules of the earlier term no other process does. Once the leader
    /// has settled, only claims made before can be confirmed, because an unclaimed
    /// backend server may have been assigned.
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

    /// Handles that a process does not report a backend server as held, or that its lease
    /// has expired.
    ///
    /// `seen` is the latest sequence of this term that the process has read; if it is
    /// lower than that of the grant, the process may not know the grant and keeps the
    /// backend server. `None` stands for an expired lease. Returns whether the backend
    /// server is free.
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

    /// Change of a backend server for a delta; `None` if a change later than `logged` replaced it.
    pub(super) fn change(&self, server: &str, logged: u64) -> Option<roster::ServerChange> {
        let state = self.states.get(server);
        let latest = state.is_none_or(|state| state.changed == logged);
        latest.then(|| roster::ServerChange {
            sequence: logged,
            server: server.to_owned(),
            record: state.and_then(server_state::ServerState::record),
        })
    }

    /// All records as changes, for a whole update.
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

/// Time `age_ms` before `now`, or `now` if the clock does not reach back that far.
fn seen_at(age_ms: u64, now: time::Instant) -> time::Instant {
    let age = time::Duration::from_millis(age_ms);
    now.checked_sub(age).unwrap_or(now)
}
