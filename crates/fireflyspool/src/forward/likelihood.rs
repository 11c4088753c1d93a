//! Chance that a query gets enough parts.

use std::time;

use crate::{fleet, ids};

/// Share of queries that are started however unlikely they are to succeed, so
/// that a recovery is noticed.
const LEAST_ADMITTED: f64 = 0.15;

/// Whether to start a query, by chance in proportion to its likely success.
///
/// A query that fails for the lack of a few shards has taken capacity from all
/// others, so under overload fewer starts give more answers.
pub(super) fn admits(
    services: &[ids::ServiceName],
    required: usize,
    fleet: &fleet::Fleet,
    entropy: u64,
    now: time::Instant,
) -> bool {
    let rates: Vec<f64> = services
        .iter()
        .map(|service| fleet.loss_rate(service, now))
        .collect();
    let chance = enough_parts(&rates, required).max(LEAST_ADMITTED);
    let random = (entropy >> 11) as f64 / (1_u64 << 53) as f64;
    random < chance
}

/// Probability that at least `required` parts arrive, if each is lost independently.
fn enough_parts(loss_rates: &[f64], required: usize) -> f64 {
    // `missing[n]` is the probability that exactly n parts are lost so far.
    let spare = loss_rates.len().saturating_sub(required);
    let mut missing = vec![0.0; spare + 1];
    missing[0] = 1.0;
    for rate in loss_rates {
        for lost in (0..=spare).rev() {
            let fewer = if lost > 0 { missing[lost - 1] } else { 0.0 };
            missing[lost] = missing[lost] * (1.0 - rate) + fewer * rate;
        }
    }
    missing.iter().sum()
}
