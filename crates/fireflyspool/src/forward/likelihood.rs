//! Probability that a query gets enough responses.

use std::time;

use crate::{admission, configuration, fleet, forward, ids, outcome};

/// Share of queries that are started however unlikely they are to succeed, so
/// that a recovery is noticed.
const MIN_ADMITTED_SHARE: f64 = 0.15;

/// Most retries of one sub-request after rejections that count towards its chance.
const MAX_RETRIES: usize = 3;

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
pub(super) fn success_probability(failure_rates: &[f64], required: usize) -> f64 {
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

/// What a request of a route can expect, for [`crate::admission`].
pub fn forecast(
    route: &configuration::Route,
    kind: outcome::Kind,
    timing: &forward::Timing,
    fleet: &mut fleet::Fleet,
    entropy: u64,
    now: time::Instant,
) -> admission::Forecast {
    let (rejections, queues) = fleet.shortage(now);
    let reserved = forward::exchange_budget::reserved_share(Some(kind));
    // The chance matters only during a shortage.
    let chance = match fleet.is_short(now) {
        true => chance(route, reserved, fleet, now),
        false => 1.0,
    };
    admission::Forecast {
        rejections,
        queues,
        chance,
        objective: timing.objective,
        entropy,
    }
}

/// Probability that a request of a route gets enough responses, 0 to 1.
fn chance(
    route: &configuration::Route,
    reserved: f64,
    fleet: &mut fleet::Fleet,
    now: time::Instant,
) -> f64 {
    let services = route.target.services();
    let rates: Vec<f64> = services
        .map(|service| failure_probability(service, 1, reserved, fleet, now))
        .collect();
    match &route.target {
        configuration::Target::Gather(gather) => success_probability(&rates, gather.required()),
        // Which of several services it gets is decided when it starts.
        _ => 1.0 - rates.iter().sum::<f64>() / rates.len().max(1) as f64,
    }
}

/// Probability that a sub-request fails that gets `attempts` more attempts and the retries
/// that the budget of its service allows.
pub(super) fn failure_probability(
    service: &str,
    attempts: usize,
    reserved: f64,
    fleet: &mut fleet::Fleet,
    now: time::Instant,
) -> f64 {
    if !fleet.is_usable(service, now) {
        return 1.0;
    }
    let retries = fleet.remaining_retries(service, reserved, now).max(0.0);
    let attempts = attempts + (retries as usize).min(MAX_RETRIES);
    let rate = fleet.rejection_rate(service, now);
    rate.powi(i32::try_from(attempts).unwrap_or(i32::MAX))
}
