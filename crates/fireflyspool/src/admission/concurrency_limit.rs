//! Adaptive limit of the sub-requests under way.

use std::time;

use crate::outcome;

/// Limit before any request has ended, in sub-requests.
const INITIAL_LIMIT: u64 = 256;

/// Bounds of the limit in sub-requests: one wide query must fit in, and memory use
/// must stay bounded.
const MIN_LIMIT: u64 = 64;
const MAX_LIMIT: u64 = 65_536;

/// Growth of the limit, in sub-requests, each time as much work as it allows has
/// completed in time.
const GROWTH_STEP: u64 = 32;

/// Share of the limit that remains after a late request, in percent.
const DECREASE_PERCENT: u64 = 90;

/// Shortest time between two decreases. Requests that are late together usually have
/// one cause.
const DECREASE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Divisor of the exponential moving average of request times: a new observation
/// has this fraction of the weight.
const SMOOTHING_DIVISOR: u32 = 8;

/// Additive-increase, multiplicative-decrease limit: grows while requests complete
/// in time and shrinks when one is late.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: u64,
    last_decrease: Option<time::Instant>,
    /// Smoothed request times by kind; zero before the first request of a kind.
    kind_times: [time::Duration; outcome::Kind::ALL.len()],
    /// Smoothed request time over all kinds.
    overall_time: time::Duration,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            last_decrease: None,
            kind_times: Default::default(),
            overall_time: time::Duration::ZERO,
        }
    }
}

impl ConcurrencyLimit {
    /// Number of sub-requests that may be under way.
    pub fn current(&self) -> u64 {
        self.limit
    }

    /// Smoothed time from the start of a request of this kind to its end; over
    /// all kinds until one of this kind has ended, and zero until any has.
    /// Kinds differ because owners serve urgent work first.
    pub fn request_time(&self, kind: outcome::Kind) -> time::Duration {
        let own = self.kind_times[kind.index()];
        if own.is_zero() {
            self.overall_time
        } else {
            own
        }
    }

    /// Expected time until queued requests of this total cost have started.
    pub fn drain_time(&self, cost: u64) -> time::Duration {
        // Sixteenths keep the precision of costs below the limit.
        let factor = u32::try_from(cost.saturating_mul(16) / self.limit).unwrap_or(u32::MAX);
        self.overall_time.saturating_mul(factor) / 16
    }

    /// Takes into account a request of this cost that completed in `request_time`,
    /// while requests with a total cost of `running` were under way.
    pub fn ended_in_time(
        &mut self,
        kind: outcome::Kind,
        cost: u64,
        running: u64,
        request_time: time::Duration,
    ) {
        self.observe(kind, request_time);
        // The limit grows only while at least three quarters of it are in use; otherwise
        // it has not been tested.
        if running.saturating_mul(4) >= self.limit.saturating_mul(3) {
            let growth = (cost * GROWTH_STEP / self.limit).max(1);
            self.limit = (self.limit + growth).min(MAX_LIMIT);
        }
    }

    /// Takes into account a request that its deadline ended after `request_time`.
    pub fn ended_late(
        &mut self,
        kind: outcome::Kind,
        request_time: time::Duration,
        now: time::Instant,
    ) {
        self.observe(kind, request_time);
        let since = |decrease| now.saturating_duration_since(decrease);
        if self
            .last_decrease
            .is_none_or(|decrease| since(decrease) >= DECREASE_INTERVAL)
        {
            self.limit = (self.limit * DECREASE_PERCENT / 100).max(MIN_LIMIT);
            self.last_decrease = Some(now);
        }
    }

    fn observe(&mut self, kind: outcome::Kind, request_time: time::Duration) {
        for average in [&mut self.overall_time, &mut self.kind_times[kind.index()]] {
            *average = if average.is_zero() {
                request_time
            } else {
                (*average * (SMOOTHING_DIVISOR - 1) + request_time) / SMOOTHING_DIVISOR
            };
        }
    }
}
