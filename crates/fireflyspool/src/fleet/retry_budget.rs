//! Budget for retries and hedges.

use std::{collections, time};

use crate::fleet;

/// Buckets of the sliding window; the oldest one is dropped as a whole.
const BUCKETS: u32 = 20;

/// Share of the budget that is used. The rest covers entry VMs whose windows
/// are offset, that join, or that are not yet known.
const SAFETY_FACTOR: f64 = 0.8;

/// Least number of entry VMs among which the slack is divided, because shortly
/// after a start only a few of them are known.
const MIN_MEMBERS: usize = 6;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: f64,
    retries: f64,
}

/// This VM's share of the retries and hedges that all entry VMs may send to one
/// service, from the requests and retries in a sliding window.
///
/// Hedges count as retries.
#[derive(Debug)]
pub struct RetryBudget {
    buckets: collections::VecDeque<Bucket>,
    /// When the newest bucket began.
    bucket_start: Option<time::Instant>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            buckets: collections::VecDeque::from([Bucket::default()]),
            bucket_start: None,
        }
    }
}

impl RetryBudget {
    /// Counts a request, not its retries.
    pub fn record_request(&mut self, limits: &fleet::RetryLimits, now: time::Instant) {
        self.advance(limits, now);
        if let Some(bucket) = self.buckets.back_mut() {
            bucket.requests += 1.0;
        }
    }

    /// Spends one retry if the budget allows it; `members` is the number of entry VMs.
    pub fn take(
        &mut self,
        limits: &fleet::RetryLimits,
        members: usize,
        now: time::Instant,
    ) -> bool {
        let allowed = self.allows(limits, members, now);
        if allowed && let Some(bucket) = self.buckets.back_mut() {
            bucket.retries += 1.0;
        }
        allowed
    }

    /// Whether the budget allows one more retry, without spending it.
    pub fn allows(
        &mut self,
        limits: &fleet::RetryLimits,
        members: usize,
        now: time::Instant,
    ) -> bool {
        self.remaining(limits, members, 0.0, now) >= 1.0
    }

    /// Retries that the budget still allows; `reserved` is the share of it, 0 to 1, that does
    /// not count.
    pub fn remaining(
        &mut self,
        limits: &fleet::RetryLimits,
        members: usize,
        reserved: f64,
        now: time::Instant,
    ) -> f64 {
        self.advance(limits, now);
        let requests: f64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: f64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = limits.slack / members.max(MIN_MEMBERS) as f64;
        let budget = SAFETY_FACTOR * (limits.ratio * requests + slack);
        budget * (1.0 - reserved) - retries
    }

    /// Starts the buckets that are due and drops those that left the window.
    fn advance(&mut self, limits: &fleet::RetryLimits, now: time::Instant) {
        let length = limits.window / BUCKETS;
        let mut start = self.bucket_start.unwrap_or(now);
        while now.saturating_duration_since(start) >= length {
            start += length;
            self.buckets.push_back(Bucket::default());
            if self.buckets.len() > BUCKETS as usize {
                self.buckets.pop_front();
            }
            if self
                .buckets
                .iter()
                .all(|bucket| bucket.requests + bucket.retries == 0.0)
            {
                start = now;
            }
        }
        self.bucket_start = Some(start);
    }
}
