//! Stored part of the peak meter.

use crate::peak;

/// Counts of the running minute and peaks of this month and the previous one, kept
/// across restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeakRecord {
    /// Running minute, in minutes since the Unix epoch.
    pub minute: u64,
    /// Sub-requests sent in the running minute, by [`peak::Cause::index`].
    pub counts: [u64; peak::Cause::ALL.len()],
    /// Sub-requests in the busiest full minute of this month.
    pub peak: u64,
    /// Sub-requests in the busiest minute of the previous month; zero if unknown.
    pub previous: u64,
}

impl PeakRecord {
    /// Sub-requests sent in the running minute.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Sub-requests in the busiest minute of this month, the running one included.
    pub fn month_peak(&self) -> u64 {
        self.peak.max(self.total())
    }

    /// Ends the running minute and starts a later one; an earlier one changes nothing.
    pub(super) fn advance(&mut self, minute: u64) {
        if minute <= self.minute {
            return;
        }
        let month = peak::month::month_of(self.minute);
        let next = peak::month::month_of(minute);
        self.peak = self.month_peak();
        if next != month {
            self.previous = if next == month + 1 { self.peak } else { 0 };
            self.peak = 0;
        }
        self.minute = minute;
        self.counts = [0; peak::Cause::ALL.len()];
    }
}
