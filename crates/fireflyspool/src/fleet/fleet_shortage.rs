//! Shortage of capacity, and the shares of the retry budget during one.

use std::time;

use crate::{admission, fleet};

/// Weight of the rate over all services in that of one, in samples.
const SERVICE_PRIOR_WEIGHT: f64 = 6.0;

impl fleet::Fleet {
    /// Share of this VM's recent attempts that were rejected or failed, and share of the
    /// recent responses that stated a full queue; each 0 to 1.
    pub fn shortage(&self, now: time::Instant) -> (f64, f64) {
        (self.shortage.rejections(now), self.shortage.queues(now))
    }

    /// Whether capacity is short.
    pub fn is_short(&self, now: time::Instant) -> bool {
        let (rejections, queues) = self.shortage(now);
        admission::is_shortage(rejections, queues)
    }

    /// Counts an attempt towards the shares of rejections.
    pub(super) fn record_rejection(
        &mut self,
        service: &str,
        result: fleet::AttemptResult,
        now: time::Instant,
    ) {
        let rejected = match result {
            fleet::AttemptResult::Answered { .. } => false,
            fleet::AttemptResult::Failed
            | fleet::AttemptResult::Rejected
            | fleet::AttemptResult::Full => true,
            // Neither says anything about capacity: a server that restarts, and an attempt
            // whose request was answered without it.
            fleet::AttemptResult::Unreachable | fleet::AttemptResult::Abandoned { .. } => return,
        };
        self.shortage.add_attempt(rejected, now);
        if let Some(pool) = self.pools.get_mut(service) {
            pool.rejections.add_attempt(rejected, now);
        }
    }

    /// Probability that an attempt at a service is rejected or fails: the share of the recent
    /// ones, or of those at all services as far as there were too few.
    pub fn rejection_rate(&self, service: &str, now: time::Instant) -> f64 {
        let overall = self.shortage.rejections(now);
        let pool = self.pools.get(service);
        pool.map_or(overall, |pool| {
            let assumed = (overall, SERVICE_PRIOR_WEIGHT);
            pool.rejections.rejections_given(assumed, now)
        })
    }

    /// Retries and hedges that the budget of a service still allows; `reserved` is the share
    /// of the budget, 0 to 1, that is kept for others.
    pub fn remaining_retries(&mut self, service: &str, reserved: f64, now: time::Instant) -> f64 {
        let (limits, members) = (self.limits, self.members);
        let pool = self.pools.get_mut(service);
        pool.map_or(0.0, |pool| {
            pool.budget.remaining(&limits, members, reserved, now)
        })
    }

    /// Spends one retry or hedge like [`Self::take_retry`] if the budget has one left beside
    /// the share `reserved` that is kept for others.
    pub fn take_unreserved_retry(
        &mut self,
        service: &str,
        reserved: f64,
        now: time::Instant,
    ) -> bool {
        self.remaining_retries(service, reserved, now) >= 1.0 && self.take_retry(service, now)
    }
}
