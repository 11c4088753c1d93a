//! State of a cold backend server.

use std::time;

/// Answers in time after which the limit grows by one at first.
const FIRST_STEP: u32 = 4;

/// Most answers for one step, reached when the server keeps failing at a higher limit.
///
/// With 2% stragglers, 32 answers in time in a row take about 45 answers.
const LONGEST_STEP: u32 = 32;

/// First pause between requests while the limit is one.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(40);

/// Longest pause, reached when answers stay late.
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Pauses below this are left out; they would cost a timer and protect nothing.
const SHORTEST_PAUSE: time::Duration = time::Duration::from_millis(5);

/// The server receives one request at a time, then more as answers come in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warming {
    pub(super) limit: u32,
    /// Earliest time of the next request; `None` if at once.
    pub(super) not_before: Option<time::Instant>,
    pause: time::Duration,
    in_time: u32,
    step: u32,
}

impl Warming {
    pub(super) fn start() -> Self {
        Self {
            limit: 1,
            not_before: None,
            pause: FIRST_PAUSE,
            in_time: 0,
            step: FIRST_STEP,
        }
    }

    /// Takes note of an answer in time.
    pub(super) fn record_in_time(&mut self, now: time::Instant) {
        self.in_time += 1;
        self.pause /= 2;
        if self.pause < SHORTEST_PAUSE {
            self.pause = time::Duration::ZERO;
        }
        if self.in_time >= self.step {
            self.in_time = 0;
            self.limit += 1;
        }
        self.start_pause(now);
    }

    /// Takes note of a late answer or a refusal.
    pub(super) fn record_late(&mut self, now: time::Instant) {
        self.in_time = 0;
        self.limit = (self.limit / 2).max(1);
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.start_pause(now);
    }

    /// Takes note of a failure that shows that the server does not bear its limit.
    pub(super) fn record_failure(&mut self, now: time::Instant) {
        if self.limit > 1 {
            self.step = (self.step * 2).min(LONGEST_STEP);
        }
        self.limit = 1;
        self.record_late(now);
    }

    /// Starts the pause that follows every request while the limit is one.
    pub(super) fn start_pause(&mut self, now: time::Instant) {
        let pauses = self.limit == 1 && !self.pause.is_zero();
        self.not_before = pauses.then(|| now + self.pause);
    }
}
