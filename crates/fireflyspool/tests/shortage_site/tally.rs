//! What the callers of one route got.

use std::fmt;

/// Numbers of requests by what their callers got, and the value of the answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) sent: usize,
    pub(crate) on_time: usize,
    pub(crate) late: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    /// Requests that were refused first, whatever came of their return.
    pub(crate) returned: usize,
    pub(crate) value: f64,
}

impl Tally {
    /// Share of the requests that were answered, 0 to 1.
    pub(crate) fn served(&self) -> f64 {
        (self.on_time + self.late) as f64 / self.sent.max(1) as f64
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.on_time += other.on_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.returned += other.returned;
        self.value += other.value;
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "sent {} on time {} late {} refused {} failed {} returned {} value {:.0}",
            self.sent,
            self.on_time,
            self.late,
            self.refused,
            self.failed,
            self.returned,
            self.value
        )
    }
}
