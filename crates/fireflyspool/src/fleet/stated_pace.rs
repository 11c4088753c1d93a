//! Pace that a backend server states, and what it says about the next request.
//!
//! An entry VM of a large site hears from one server about once a second, and a server is slow
//! for about 0.6 s at a time. So a figure says much for a short time and nothing later; the
//! expectation then returns to what is usual for the server, whose speed may differ permanently.

use std::time;

use crate::backend;

/// Time after which a stated pace says nothing. Phases of slowness last 0.6 s, so of those that
/// are seen at a random time the share that lasts on falls linearly to zero within that.
const PACE_MAX_AGE: time::Duration = time::Duration::from_millis(600);

/// Time after which stated numbers of requests say nothing, as for servers without a pace.
const LOAD_MAX_AGE: time::Duration = time::Duration::from_millis(250);

/// Age up to which a server has just stated that it is slow or full.
const RECENT: time::Duration = time::Duration::from_millis(250);

/// Weight of a new figure in the usual pace; with one figure a second, a permanent difference is
/// known after 10 s and one phase of slowness changes little.
const USUAL_WEIGHT: f64 = 0.1;

/// Multiple of the normal time for work from which a server is slow.
const SLOW_PACE: f64 = 2.0;

/// Latest figures of a server that states its pace.
#[derive(Debug)]
pub(super) struct StatedPace {
    slots: f64,
    /// Time that work takes, as a multiple of the normal one.
    pace: f64,
    usual: f64,
    /// Running and queued requests.
    load: f64,
    queued: f64,
    stated_at: time::Instant,
    /// Attempts of this VM that started after the figures.
    started: usize,
}

impl StatedPace {
    /// Figures of a server that states its pace for the first time.
    pub(super) fn new(load: backend::Load, pace: backend::Pace, now: time::Instant) -> Self {
        let mut stated = Self {
            slots: 1.0,
            pace: 1.0,
            usual: 1.0,
            load: 0.0,
            queued: 0.0,
            stated_at: now,
            started: 0,
        };
        stated.record(load, pace, now);
        stated
    }

    /// Replaces the figures.
    pub(super) fn record(&mut self, load: backend::Load, pace: backend::Pace, now: time::Instant) {
        self.slots = f64::from(pace.slots.max(1));
        self.pace = f64::from(pace.percent) / 100.0;
        self.usual += USUAL_WEIGHT * (self.pace - self.usual);
        self.queued = f64::from(load.queued);
        self.load = f64::from(load.running) + self.queued;
        self.stated_at = now;
        self.started = 0;
    }

    /// Counts an attempt of this VM that starts.
    pub(super) fn start(&mut self) {
        self.started += 1;
    }

    /// Expected time that work takes, as a multiple of the normal one.
    pub(super) fn pace(&self, now: time::Instant) -> f64 {
        self.usual + (self.pace - self.usual) * self.weight(PACE_MAX_AGE, now)
    }

    /// Expected time that one more request waits for a slot, as a multiple of the time for its
    /// work; this VM has `running` attempts under way.
    pub(super) fn wait(&self, running: usize, now: time::Instant) -> f64 {
        let stated = self.load * self.weight(LOAD_MAX_AGE, now) + self.started as f64;
        let ahead = stated.max(running as f64) + 1.0 - self.slots;
        ahead.max(0.0) / self.slots
    }

    /// Whether the server has just stated that it is slow, or that as many requests wait as it
    /// runs at a time.
    pub(super) fn is_congested(&self, now: time::Instant) -> bool {
        let age = now.saturating_duration_since(self.stated_at);
        age < RECENT && (self.pace >= SLOW_PACE || self.queued >= self.slots)
    }

    /// Weight of a figure, which falls linearly to zero until `max_age`.
    fn weight(&self, max_age: time::Duration, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.stated_at);
        (1.0 - age.as_secs_f64() / max_age.as_secs_f64()).max(0.0)
    }
}
