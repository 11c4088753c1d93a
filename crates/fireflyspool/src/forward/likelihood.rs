//! Probability that a query gets enough responses.

use std::time;

use crate::{fleet, ids};

/// Share of queries that are started however unlikely they are to succeed, so
/// that a recovery is noticed.
const MIN_ADMITTED_SHARE: f64 = 0.15;

/// Decides at random whether to start a query, with the probability that it succeeds.
///
/// A query that fails because a few shards are missing has used capacity on all
/// the others, so under overload starting fewer queries answers more of them.
pub(super) fn admits(
    services: &[ids::ServiceName],
    required: usize,
    fleet: &fleet::Fleet,
    entropy: u64,
    now: time::Instant,
) -> bool {
    let rates: Vec<f64> = services
        .iter()
        .map(|service| fleet.failure_rate(service, now))
        .collect();
    let chance = success_probability(&rates, required).max(MIN_ADMITTED_SHARE);
    let random = (entropy >> 11) as f64 / (1_u64 << 53) as f64;
    random < chance
}

/// Probability that at least `required` sub-requests succeed if they fail independently.
fn success_probability(failure_rates: &[f64], required: usize) -> f64 {
    // `missing[n]` is the probability that exactly n of the sub-requests so far fail.
    let spare = failure_rates.len().saturating_sub(required);
    let mut missing = vec![0.0; spare + 1];
    missing[0] = 1.0;
    for rate in failure_rates {
        for count in (0..=spare).rev() {
            let fewer = if count > 0 { missing[count - 1] } else { 0.0 };
            missing[count] = missing[count] * (1.0 - rate) + fewer * rate;
        }
    }
    missing.iter().sum()
}
