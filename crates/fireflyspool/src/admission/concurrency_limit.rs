//! Limit of the work under way.

use std::time;

use crate::outcome;

/// Work that fits in before anything was learned, in sub-requests.
const INITIAL: u64 = 256;

/// Bounds of the limit: one wide query must fit in, and memory must not grow without end.
const MIN: u64 = 64;
const MAX: u64 = 65_536;

/// Growth of the limit while as much work as it allows completes in time.
const STEP: u64 = 32;

/// Share that remains after a request was late, in percent.
const CUT_PERCENT: u64 = 90;

/// Shortest time between two cuts. Requests that are late together have one cause.
const CUT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Weight of old observations of the time that a request takes.
const HOLD_WEIGHT: u32 = 8;

/// Grows while the work under way completes in time and shrinks when it is late.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: u64,
    last_cut: Option<time::Instant>,
    /// Smoothed times that requests take, by kind.
    holds: [time::Duration; outcome::Kind::ALL.len()],
    /// The same over all kinds.
    hold: time::Duration,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: INITIAL,
            last_cut: None,
            holds: Default::default(),
            hold: time::Duration::ZERO,
        }
    }
}

impl ConcurrencyLimit {
    /// Sub-requests that may be under way.
    pub fn current(&self) -> u64 {
        self.limit
    }

    /// Smoothed time from the start of a request of this kind to its end; that
    /// of all kinds before the first one of this kind, and zero before any.
    /// Kinds differ because owners serve urgent work first.
    pub fn hold(&self, kind: outcome::Kind) -> time::Duration {
        let own = self.holds[kind.index()];
        if own.is_zero() { self.hold } else { own }
    }

    /// Time in which work of this amount leaves the queue.
    pub fn drain_time(&self, work: u64) -> time::Duration {
        let factor = u32::try_from(work.saturating_mul(16) / self.limit).unwrap_or(u32::MAX);
        self.hold.saturating_mul(factor) / 16
    }

    /// Learns from a request of this cost that ended by itself after `held`,
    /// while `running` was under way.
    pub fn ended_in_time(
        &mut self,
        kind: outcome::Kind,
        cost: u64,
        running: u64,
        held: time::Duration,
    ) {
        self.observe(kind, held);
        // A limit that is not reached has not been tested, so it does not grow.
        if running.saturating_mul(4) >= self.limit.saturating_mul(3) {
            let growth = (cost * STEP / self.limit).max(1);
            self.limit = (self.limit + growth).min(MAX);
        }
    }

    /// Learns from a request that its deadline cut short after `held`.
    pub fn ended_late(&mut self, kind: outcome::Kind, held: time::Duration, now: time::Instant) {
        self.observe(kind, held);
        let since = |cut| now.saturating_duration_since(cut);
        if self.last_cut.is_none_or(|cut| since(cut) >= CUT_INTERVAL) {
            self.limit = (self.limit * CUT_PERCENT / 100).max(MIN);
            self.last_cut = Some(now);
        }
    }

    fn observe(&mut self, kind: outcome::Kind, held: time::Duration) {
        for hold in [&mut self.hold, &mut self.holds[kind.index()]] {
            *hold = if hold.is_zero() {
                held
            } else {
                (*hold * (HOLD_WEIGHT - 1) + held) / HOLD_WEIGHT
            };
        }
    }
}
