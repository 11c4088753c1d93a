//! Incarnation of a backend server that is watched.

use std::{net, time};

use crate::{containment, ids};

/// Time between two checks of a server that may still run a watched attempt; less than a server
/// takes to come back after a crash.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Factor by which the time to the next check grows once the time of all attempts has passed.
const BACKOFF: u32 = 2;

/// Incarnation with the attempts at it that were given up.
#[derive(Clone, Debug)]
pub(super) struct Watched {
    pub(super) born: ids::BornMillis,
    pub(super) address: net::SocketAddr,
    pub(super) kept: Option<usize>,
    /// One for each content.
    pub(super) attempts: Vec<containment::GivenUp>,
    /// When the next check is due; `None` if only a failure of another attempt causes one.
    check_at: Option<time::Instant>,
    interval: time::Duration,
}

impl Watched {
    pub(super) fn new(attempt: &containment::GivenUp, now: time::Instant) -> Self {
        let mut watched = Self {
            born: attempt.born,
            address: attempt.address,
            kept: attempt.kept,
            attempts: Vec::new(),
            check_at: None,
            interval: CHECK_INTERVAL,
        };
        watched.check_at = watched.check_after(CHECK_INTERVAL, now);
        watched
    }

    /// A server that accepts too few connections for one of this VM to be kept is not checked at
    /// intervals, because each check would take a connection from the others.
    fn check_after(&self, interval: time::Duration, now: time::Instant) -> Option<time::Instant> {
        (self.kept != Some(0)).then(|| now + interval)
    }

    /// Adds an attempt, or prolongs that of the same content; returns whether it is a new one.
    pub(super) fn add(&mut self, attempt: containment::GivenUp, now: time::Instant) -> bool {
        self.interval = CHECK_INTERVAL;
        if let Some(check_at) = &mut self.check_at {
            *check_at = (*check_at).min(now + CHECK_INTERVAL);
        }
        let mut known = self.attempts.iter_mut();
        if let Some(known) = known.find(|known| known.content == attempt.content) {
            known.until = known.until.max(attempt.until);
            known.probe |= attempt.probe;
            known.request = attempt.request;
            return false;
        }
        self.attempts.push(attempt);
        true
    }

    /// Has the next check take place at once.
    pub(super) fn hurry(&mut self, now: time::Instant) {
        self.check_at = Some(self.check_at.map_or(now, |at| at.min(now)));
    }

    /// Whether a check is due; if so, sets the time of the next one.
    pub(super) fn is_due(&mut self, now: time::Instant) -> bool {
        if self.check_at.is_none_or(|at| at > now) {
            return false;
        }
        if self.attempts.iter().all(|attempt| attempt.until <= now) {
            self.interval *= BACKOFF;
        }
        self.check_at = self.check_after(self.interval, now);
        true
    }
}
