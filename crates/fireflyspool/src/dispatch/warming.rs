//! State of a backend server in slow start.

use std::time;

/// Answers in time for the first increase of the limit.
const INITIAL_STEP: u32 = 4;

/// Most answers in time for one increase, reached when the server keeps failing above one.
///
/// With 2% stragglers, a run of 32 answers in time takes about 45 answers.
const MAX_STEP: u32 = 32;

/// Pause between requests at first, while the limit is one.
const INITIAL_PAUSE: time::Duration = time::Duration::from_millis(40);

/// Longest pause, reached when answers keep coming late.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Shorter pauses are skipped; they would need a timer and protect nothing.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(5);

/// The server gets one request at a time at first, then more as answers come in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warming {
    /// Most concurrent requests.
    pub(super) limit: u32,
    /// Earliest time of the next request; `None` if it may be sent at once.
    pub(super) not_before: Option<time::Instant>,
    pause: time::Duration,
    /// Answers in time since the last step or late answer.
    in_time: u32,
    /// Answers in time that raise the limit by one.
    step: u32,
}

impl Warming {
    pub(super) fn start() -> Self {
        Self {
            limit: 1,
            not_before: None,
            pause: INITIAL_PAUSE,
            in_time: 0,
            step: INITIAL_STEP,
        }
    }

    /// Records an answer in time: shortens the pause, and raises the limit after enough of them.
    pub(super) fn record_in_time(&mut self, now: time::Instant) {
        self.in_time += 1;
        self.pause /= 2;
        if self.pause < MIN_PAUSE {
            self.pause = time::Duration::ZERO;
        }
        if self.in_time >= self.step {
            self.in_time = 0;
            self.limit += 1;
        }
        self.start_pause(now);
    }

    /// Records a late answer or a refusal: halves the limit and doubles the pause.
    pub(super) fn record_late(&mut self, now: time::Instant) {
        self.in_time = 0;
        self.limit = (self.limit / 2).max(1);
        self.pause = (self.pause * 2).clamp(INITIAL_PAUSE, MAX_PAUSE);
        self.start_pause(now);
    }

    /// Records a failure: back to one request, and slower steps if the limit was higher.
    pub(super) fn record_failure(&mut self, now: time::Instant) {
        if self.limit > 1 {
            self.step = (self.step * 2).min(MAX_STEP);
        }
        self.limit = 1;
        self.record_late(now);
    }

    /// Starts the pause after a request, if the limit is one.
    pub(super) fn start_pause(&mut self, now: time::Instant) {
        let pauses = self.limit == 1 && !self.pause.is_zero();
        self.not_before = pauses.then(|| now + self.pause);
    }
}
