//! Attempts that were given up, whose servers may still end under them.

use std::{mem, time};

use crate::{containment, fleet, ids, registry};

impl fleet::Fleet {
    /// Watches the server of an attempt that was given up, unless it leaves; returns whether none
    /// was watched before.
    pub fn watch(&mut self, attempt: containment::GivenUp, now: time::Instant) -> bool {
        let is_first = self.watch.is_empty();
        if !self.is_leaving(&attempt) {
            let ended = self.watch.add(attempt, now);
            self.record_unseen(ended, now);
        }
        is_first && !self.watch.is_empty()
    }

    /// Whether the server of an attempt is watched.
    pub fn is_watching(&self) -> bool {
        !self.watch.is_empty()
    }

    /// Servers whose listeners are to be checked now, each to be passed to
    /// [`Self::record_check`].
    pub fn due_checks(&mut self, now: time::Instant) -> Vec<containment::Check> {
        self.watch.due_checks(now)
    }

    /// Records whether a server accepts connections; `None` if that is not known.
    pub fn record_check(
        &mut self,
        check: &containment::Check,
        accepts: Option<bool>,
        now: time::Instant,
    ) {
        match accepts {
            Some(true) => self.watch.alive(&check.server, check.born, now),
            Some(false) => self.record_crashed(&check.server, check.born, now),
            None => {}
        }
    }

    /// Records that an incarnation has answered an attempt.
    pub fn record_alive(&mut self, server: &str, born: ids::BornMillis, now: time::Instant) {
        self.watch.alive(server, born, now);
    }

    /// Records that an incarnation has crashed.
    pub fn record_crashed(&mut self, server: &str, born: ids::BornMillis, now: time::Instant) {
        let ended = self.watch.ended(server, born, now);
        self.record_unseen(ended, now);
    }

    /// Has a server that could not be reached checked at once; returns whether it is watched.
    pub fn hurry_check(&mut self, server: &str, now: time::Instant) -> bool {
        self.watch.hurry(server, now)
    }

    /// Removes and returns the attempts that were given up and under which servers have ended,
    /// as far as that may change a verdict.
    pub fn take_unseen_crashes(&mut self) -> Vec<containment::GivenUp> {
        mem::take(&mut self.unseen_crashes)
    }

    /// Compares the watched incarnations with a view: one that is replaced although it did not
    /// leave has crashed.
    pub(super) fn watch_view(&mut self, view: &fleet::View, now: time::Instant) {
        if self.watch.is_empty() {
            return;
        }
        let mut ended = Vec::new();
        let mut left = Vec::new();
        for (server, born, address) in self.watch.servers() {
            let record = view.servers.get(server).map(|known| &known.record);
            if record.is_some_and(|record| record.born > born) {
                ended.push((server.clone(), born));
                continue;
            }
            let phase = record.map(|record| record.phase);
            let replaces = |known: &fleet::KnownServer| {
                let record = &known.record;
                record.address == address && record.server != *server && record.born > born
            };
            match phase {
                Some(registry::Phase::Serving) => {}
                Some(registry::Phase::Leaving) => left.push((server.clone(), born)),
                Some(registry::Phase::Gone) | None => match view.servers.values().any(replaces) {
                    true => ended.push((server.clone(), born)),
                    false if phase.is_some() => left.push((server.clone(), born)),
                    false => {}
                },
            }
        }
        for (server, born) in left {
            self.watch.forget(&server, born);
        }
        for (server, born) in ended {
            self.record_crashed(&server, born, now);
        }
    }

    /// Whether the server of an attempt has stated that it leaves, or ended as it had stated.
    fn is_leaving(&self, attempt: &containment::GivenUp) -> bool {
        let pool = self.pools.get(&attempt.service);
        let server = pool.and_then(|pool| pool.servers.get(&attempt.server));
        server.is_some_and(|server| server.born == attempt.born && server.leaving)
            || self.notices.is_leaving(&attempt.server, attempt.born)
    }

    fn record_unseen(&mut self, ended: Vec<containment::GivenUp>, now: time::Instant) {
        for attempt in ended {
            let crash = containment::Crash {
                server: attempt.server.clone(),
                born: attempt.born,
                probe: attempt.probe,
                unseen: true,
            };
            if self.record_crash(attempt.content, crash, now) {
                self.unseen_crashes.push(attempt);
            }
        }
    }
}
