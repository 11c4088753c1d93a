//! Time from the decision on an answer until it is written.

use std::{sync, time};

use crate::fleet;

/// Share of answers that are written within the estimate.
const QUANTILE: f64 = 0.9;

/// Estimate before the first answer.
const INITIAL: time::Duration = time::Duration::from_millis(2);

/// Estimate of the time for which an answer is under way in this process once it is due.
///
/// It grows with the answers and with the lack of processor time.
pub(super) struct AnswerDelay {
    estimate: sync::Mutex<fleet::Quantile>,
}

impl Default for AnswerDelay {
    fn default() -> Self {
        let estimate = sync::Mutex::new(fleet::Quantile::new(QUANTILE, INITIAL));
        Self { estimate }
    }
}

impl AnswerDelay {
    /// Adjusts the estimate by one answer.
    pub(super) fn record(&self, delay: time::Duration) {
        self.lock().add(delay);
    }

    /// Current estimate.
    pub(super) fn value(&self) -> time::Duration {
        self.lock().value()
    }

    fn lock(&self) -> sync::MutexGuard<'_, fleet::Quantile> {
        self.estimate
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
