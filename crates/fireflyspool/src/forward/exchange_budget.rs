//! Shares of the retry budget by kind.
//!
//! During a shortage the retries that a service allows are fewer than its rejected attempts.
//! The less urgent a kind, the more of the budget it leaves for the others, and hedges leave
//! more than retries: a hedge only makes an answer earlier, a retry makes it possible.

use std::time;

use crate::{fleet, forward, outcome};

/// Share of the budget that each kind leaves for more urgent ones, by [`outcome::Kind::index`].
const RESERVED_SHARES: [f64; outcome::Kind::ALL.len()] = [0.0, 0.1, 0.2];

/// Share that hedges leave for retries in addition.
const HEDGE_RESERVE: f64 = 0.8;

/// Share of the budget that retries of this kind leave for more urgent kinds.
pub(super) fn reserved_share(kind: Option<outcome::Kind>) -> f64 {
    kind.map_or(0.0, |kind| RESERVED_SHARES[kind.index()])
}

impl forward::Exchange {
    /// Spends a retry of the service of a sub-request if its kind may.
    pub(super) fn take_retry(
        &mut self,
        index: usize,
        fleet: &mut fleet::Fleet,
        now: time::Instant,
    ) -> bool {
        let short = self.kind.is_some() && fleet.is_short(now);
        let reserved = self.reserved(fleet, now);
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return false;
        };
        let is_hedge = pending.state.running > 0;
        let reserved = match short && is_hedge {
            true => reserved + HEDGE_RESERVE,
            false => reserved,
        };
        fleet.take_unreserved_retry(&pending.service, reserved, now)
    }

    /// Share of the budget that this request leaves for others.
    pub(super) fn reserved(&self, fleet: &fleet::Fleet, now: time::Instant) -> f64 {
        match fleet.is_short(now) {
            true => reserved_share(self.kind),
            false => 0.0,
        }
    }
}
