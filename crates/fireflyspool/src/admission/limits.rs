//! Limits set by operators and the peak meter.

use crate::state;

/// Limits that admission applies while it handles one event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of requests that may wait, all kinds together.
    pub queue: usize,
    /// Share of starts and of the queue reserved for each kind below urgent, in permille.
    pub low_share: u64,
    /// Whether deferrable requests are held back, see [`crate::peak::PeakMeter::is_peak`].
    pub paced: bool,
}

impl Limits {
    /// Limits that the catalog sets.
    pub fn from_catalog(catalog: &state::Catalog, paced: bool) -> Self {
        let queue = catalog.number(state::ConfigKey::QueueLimit);
        Self {
            queue: usize::try_from(queue).unwrap_or(usize::MAX),
            low_share: catalog.number(state::ConfigKey::LowShare),
            paced,
        }
    }

    /// Places in the queue reserved for each kind below urgent: at most a quarter,
    /// so that the two kinds together leave half of the queue to urgent requests.
    pub(super) fn reserve(&self) -> usize {
        let share = usize::try_from(self.low_share).unwrap_or(0);
        (self.queue.saturating_mul(share) / 1_000).min(self.queue / 4)
    }
}
