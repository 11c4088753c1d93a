//! Attempts that were given up, by the backend server that may still run them.

use std::{net, time};

use crate::containment::{recurrence, watched};
use crate::{containment, ids, sorted};

/// Most attempts that are watched at a time; further ones are not.
const MAX_ATTEMPTS: usize = 4_096;

/// Time after the end of an attempt's time for which it is watched if nothing is learned of its
/// server; a server that has crashed is back before that, and reports as another incarnation.
const RETENTION: time::Duration = time::Duration::from_secs(30);

/// Attempts that were given up, until their server has outlived them or has ended.
///
/// ```
/// use std::time;
///
/// use fireflyspool::containment;
///
/// let now = time::Instant::now();
/// let attempt = containment::GivenUp {
///     request: "1".to_owned(),
///     content: 7,
///     service: "desk".to_owned(),
///     server: "s".to_owned(),
///     born: 1,
///     address: "10.0.0.1:80".parse()?,
///     kept: None,
///     probe: false,
///     until: now + time::Duration::from_secs(1),
/// };
/// let mut watch = containment::Watch::default();
/// watch.add(attempt.clone(), now);
/// assert_eq!(watch.ended("s", 1, now), [attempt]);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Watch {
    servers: sorted::SortedMap<ids::ServerName, watched::Watched>,
    attempts: usize,
    recurrence: recurrence::Recurrence,
}

impl Watch {
    /// Whether nothing is watched.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Number of attempts that are watched.
    pub fn len(&self) -> usize {
        self.attempts
    }

    /// Servers with watched attempts: name, start time of the incarnation and address.
    pub fn servers(
        &self,
    ) -> impl Iterator<Item = (&ids::ServerName, ids::BornMillis, net::SocketAddr)> {
        let servers = self.servers.iter();
        servers.map(|(server, watched)| (server, watched.born, watched.address))
    }

    /// Watches an attempt; returns those under which the server has ended, because another
    /// incarnation of it is known.
    pub fn add(
        &mut self,
        attempt: containment::GivenUp,
        now: time::Instant,
    ) -> Vec<containment::GivenUp> {
        let known = self.servers.get(&attempt.server);
        let ended = match known.map(|known| known.born) {
            Some(born) if born > attempt.born => return vec![attempt],
            Some(born) if born < attempt.born => self.ended(&attempt.server, born, now),
            _ => Vec::new(),
        };
        if self.attempts >= MAX_ATTEMPTS {
            self.expire(now);
        }
        if self.attempts < MAX_ATTEMPTS {
            let server = attempt.server.clone();
            let make = || watched::Watched::new(&attempt, now);
            let watched = self.servers.get_or_insert_with(server, make);
            self.attempts += usize::from(watched.add(attempt, now));
        }
        ended
    }

    /// Handles that an incarnation has ended; returns the attempts under which it has, first
    /// those of the contents under which most incarnations have ended.
    pub fn ended(
        &mut self,
        server: &str,
        born: ids::BornMillis,
        now: time::Instant,
    ) -> Vec<containment::GivenUp> {
        let mut attempts = self.remove(server, born);
        self.recurrence.order(&mut attempts, now);
        attempts
    }

    /// Forgets the attempts at an incarnation, whose end will say nothing about them.
    pub fn forget(&mut self, server: &str, born: ids::BornMillis) {
        self.remove(server, born);
    }

    fn remove(&mut self, server: &str, born: ids::BornMillis) -> Vec<containment::GivenUp> {
        let is_known = |watched: &watched::Watched| watched.born <= born;
        if !self.servers.get(server).is_some_and(is_known) {
            return Vec::new();
        }
        let watched = self.servers.remove(server);
        let attempts = watched.map_or_else(Vec::new, |watched| watched.attempts);
        self.attempts -= attempts.len();
        attempts
    }

    /// Handles that an incarnation is alive: it has outlived the attempts whose time is over.
    pub fn alive(&mut self, server: &str, born: ids::BornMillis, now: time::Instant) {
        let watched = self.servers.get_mut(server);
        let Some(watched) = watched.filter(|watched| watched.born == born) else {
            return;
        };
        let before = watched.attempts.len();
        watched.attempts.retain(|attempt| now < attempt.until);
        self.attempts -= before - watched.attempts.len();
        if watched.attempts.is_empty() {
            self.servers.remove(server);
        }
    }

    /// Has the next check of a server take place at once; returns whether it is watched.
    pub fn hurry(&mut self, server: &str, now: time::Instant) -> bool {
        let watched = self.servers.get_mut(server);
        watched.map(|watched| watched.hurry(now)).is_some()
    }

    /// Checks that are due.
    pub fn due_checks(&mut self, now: time::Instant) -> Vec<containment::Check> {
        self.expire(now);
        let due = self.servers.iter_mut().filter_map(|(server, watched)| {
            watched.is_due(now).then(|| containment::Check {
                server: server.clone(),
                born: watched.born,
                address: watched.address,
                kept: watched.kept,
            })
        });
        due.collect()
    }

    fn expire(&mut self, now: time::Instant) {
        for watched in self.servers.values_mut() {
            let attempts = &mut watched.attempts;
            attempts.retain(|attempt| now < attempt.until + RETENTION);
        }
        self.servers
            .retain(|_, watched| !watched.attempts.is_empty());
        let attempts = self.servers.values().map(|watched| watched.attempts.len());
        self.attempts = attempts.sum();
    }
}
