//! Which requests are refused during a shortage.
//!
//! Every kind starts with the probability that a request of it gets enough responses. A less
//! urgent kind starts in addition at most as often as the more urgent ones are served, so that
//! it is shed before them and leaves them its share of the slots and of the retry budget. The
//! fewer sub-requests a request has, the less refusing it relieves the backend servers, and
//! the less often it is refused. A share of each kind always starts, so that none starves and
//! a recovery is noticed.

use std::time;

use crate::{admission, outcome};

/// Share of the requests of a kind that start however unlikely they are to get enough responses.
const MIN_STARTED_SHARE: f64 = 0.12;

/// Least share of a less urgent kind beside more urgent ones.
const MIN_BOUND: f64 = 0.1;

/// Probability of enough responses from which a request always starts, as far as it alone is
/// concerned. Below it, starting fewer requests leaves retries for those that start.
const SUFFICIENT_CHANCE: f64 = 0.25;

/// Probability below which the refusal says that the coverage is out of reach.
const HOPELESS_CHANCE: f64 = 0.1;

/// Number of sub-requests from which the share of a less urgent kind is reduced in full.
const FULL_COST: f64 = 32.0;

/// Range of the retry time, as shares of the remaining time. Callers wait for at most a third
/// of it; the range spreads them.
const RETRY_SHARES: (f64, f64) = (0.15, 0.32);

/// Refusal during a shortage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Shed {
    pub(super) reason: outcome::RefusalReason,
    pub(super) retry_after: time::Duration,
}

/// Served shares by kind, from which the shares that start follow.
#[derive(Clone, Debug, Default)]
pub(super) struct Shedding {
    served: [admission::served_share::ServedShare; outcome::Kind::ALL.len()],
}

impl Shedding {
    /// Refusal of a request that arrives; `None` if it may start.
    pub(super) fn judge(
        &mut self,
        kind: outcome::Kind,
        waiting: &admission::waiting::Waiting,
        forecast: &admission::Forecast,
        now: time::Instant,
    ) -> Option<Shed> {
        if !forecast.is_shortage() || forecast.random() < self.share(kind, waiting, forecast, now) {
            return None;
        }
        self.served[kind.index()].add(false, now);
        let reason = match forecast.chance < HOPELESS_CHANCE {
            true => outcome::RefusalReason::Coverage,
            false => outcome::RefusalReason::Overloaded,
        };
        let retry_after = retry_after(waiting.answer_by, forecast, now);
        Some(Shed {
            reason,
            retry_after,
        })
    }

    /// Records whether a request that started was served in time.
    pub(super) fn ended(&mut self, kind: outcome::Kind, served: bool, now: time::Instant) {
        self.served[kind.index()].add(served, now);
    }

    /// Share of such requests that start.
    fn share(
        &self,
        kind: outcome::Kind,
        waiting: &admission::waiting::Waiting,
        forecast: &admission::Forecast,
        now: time::Instant,
    ) -> f64 {
        let own = (forecast.chance / SUFFICIENT_CHANCE).min(1.0);
        let more_urgent = self.served[..kind.index()].iter();
        let least = more_urgent.map(|served| served.value(now));
        let bound = least.fold(1.0, f64::min);
        let weight = (f64::from(waiting.cost) / FULL_COST).min(1.0);
        let own = own.max(MIN_STARTED_SHARE);
        let bound = bound.max(MIN_BOUND);
        (own * bound).powf(weight)
    }
}

/// Time after which the caller of a refused request may try again.
pub(super) fn retry_after(
    deadline: time::Instant,
    forecast: &admission::Forecast,
    now: time::Instant,
) -> time::Duration {
    let remaining = deadline.saturating_duration_since(now);
    let (least, most) = RETRY_SHARES;
    remaining.mul_f64(least + (most - least) * forecast.second_random())
}
