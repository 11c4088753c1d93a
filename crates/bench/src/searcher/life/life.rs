//! One incarnation of a searcher.

use std::time;

use fireflyspool::ids;

use crate::searcher::life;

/// Incarnation in a state of its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Life<S> {
    incarnation: ids::Incarnation,
    state: S,
}

impl<S> Life<S> {
    /// Incarnation.
    pub fn incarnation(&self) -> ids::Incarnation {
        self.incarnation
    }

    /// State.
    pub fn state(&self) -> &S {
        &self.state
    }

    fn become_state<T>(self, state: T) -> Life<T> {
        Life {
            incarnation: self.incarnation,
            state,
        }
    }

    /// Crashes; the restart gets a new incarnation.
    pub fn crash(self, until: time::Instant) -> Life<life::Away> {
        self.become_state(life::Away { until })
    }
}

impl Life<life::Starting> {
    /// Begins an incarnation.
    pub fn start(incarnation: ids::Incarnation, until: time::Instant) -> Self {
        Self {
            incarnation,
            state: life::Starting { until },
        }
    }

    /// Ends loading; the searcher is cold at first.
    pub fn ready(self, now: time::Instant) -> Life<life::Ready> {
        self.become_state(life::Ready { cold_since: now })
    }
}

impl Life<life::Ready> {
    /// Begins a cold start without a new incarnation.
    pub fn chill(self, now: time::Instant) -> Self {
        self.become_state(life::Ready { cold_since: now })
    }

    /// Starts to leave.
    pub fn drain(self, until: time::Instant) -> Life<life::Leaving> {
        self.become_state(life::Leaving { until })
    }
}

impl Life<life::Leaving> {
    /// Stays at least until a time.
    pub fn extend(self, until: time::Instant) -> Self {
        let until = self.state.until.max(until);
        self.become_state(life::Leaving { until })
    }
}

impl Life<life::Away> {
    /// Restarts with a greater incarnation: the time in milliseconds, or the next number.
    pub fn restart(self, unix_ms: u64, until: time::Instant) -> Life<life::Starting> {
        Life::start(unix_ms.max(self.incarnation + 1), until)
    }
}
