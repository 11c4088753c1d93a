//! Points in time that bound one request.

use std::time;

use crate::{configuration, forward};

/// Share of the latency objective at which a sufficient answer is sent; the
/// rest is for the network delay to the caller.
const CUTOFF_SHARE: f64 = 0.85;

/// Least time reserved for the network delay to the caller.
const CALLER_DELAY: time::Duration = time::Duration::from_millis(8);

/// Largest time before the receipt that counts towards the objective, as a share of
/// it. A caller that states even less time has little patience or sends the request
/// again, which says nothing about when it began to wait.
const MAX_SETUP_SHARE: f64 = 0.5;

/// Largest time reserved for writing the answer, as a share of the latency objective.
const MAX_ANSWER_SHARE: f64 = 0.25;

/// Multiple of the latency objective until which a late answer waits for all shards.
const LATE_CUTOFF_FACTOR: u32 = 2;

/// Shortest and longest time before a hedge, as shares of the latency objective.
const HEDGE_DELAY_SHARES: (f64, f64) = (0.1, 0.3);

/// Shortest and longest time before the shards of a group are hedged, as shares of the latency
/// objective. The other entry VM answers when its own attempts would be due for a hedge.
const GROUP_HEDGE_DELAY_SHARES: (f64, f64) = (0.3, 0.6);

/// Share of the latency objective for which a first attempt waits for a free backend server.
const QUEUE_SHARE: f64 = 0.2;

/// Cutoffs and deadlines of a request, from its route and its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// When the request was received.
    pub received: time::Instant,
    /// When a sufficient answer is sent although shards are missing.
    pub cutoff: time::Instant,
    /// Latency objective; an answer after it is late.
    pub objective: time::Instant,
    /// When a late sufficient answer is sent although shards are missing.
    pub late_cutoff: time::Instant,
    /// When the request times out, by the limit of the caller or of the route.
    pub deadline: time::Instant,
    /// How long a first attempt waits for a free backend server.
    pub queue_timeout: time::Duration,
}

impl Timing {
    /// Timing of a request that was received at `received`.
    ///
    /// `caller_timeout` is how long the caller still waits, network delay included.
    /// What it lacks to the route's timeout is taken as spent on resolving and
    /// connecting, because the caller measures latency from its own start.
    /// `answer_delay` is the time from the cutoff until the answer is written.
    pub fn new(
        route: &configuration::Route,
        caller_timeout: Option<time::Duration>,
        answer_delay: time::Duration,
        received: time::Instant,
    ) -> Self {
        let timeout = caller_timeout.map_or(route.timeout, |timeout| {
            timeout.saturating_sub(CALLER_DELAY).min(route.timeout)
        });
        let objective = route.objective;
        let start = received
            .checked_sub(setup_time(route, caller_timeout))
            .unwrap_or(received);
        let latest = objective.saturating_sub(CALLER_DELAY);
        let answer_delay = answer_delay.min(objective.mul_f64(MAX_ANSWER_SHARE));
        let cutoff = objective.mul_f64(CUTOFF_SHARE).min(latest);
        Self {
            received,
            cutoff: start + cutoff.saturating_sub(answer_delay),
            objective: start + objective,
            late_cutoff: start + objective * LATE_CUTOFF_FACTOR,
            deadline: received + timeout,
            queue_timeout: objective.mul_f64(QUEUE_SHARE),
        }
    }

    /// Timing of a group that another entry VM has delegated; it is received `now`.
    pub fn of_group(group: &forward::Group, now: time::Instant) -> Self {
        Self {
            received: now,
            cutoff: group.cutoff.min(group.deadline),
            objective: group.deadline,
            late_cutoff: group.deadline,
            deadline: group.deadline,
            queue_timeout: group.objective.mul_f64(QUEUE_SHARE),
        }
    }

    /// Time after which an attempt is hedged: the high latency of the route, within bounds.
    pub fn hedge_delay(
        route: &configuration::Route,
        high_latency: time::Duration,
    ) -> time::Duration {
        clamp_to_shares(high_latency, route, HEDGE_DELAY_SHARES)
    }

    /// Time after which the shards of a group are hedged: the high latency of groups of the
    /// route, within bounds.
    pub fn group_hedge_delay(
        route: &configuration::Route,
        high_latency: time::Duration,
    ) -> time::Duration {
        clamp_to_shares(high_latency, route, GROUP_HEDGE_DELAY_SHARES)
    }
}

/// Limits a time to between two shares of the latency objective.
fn clamp_to_shares(
    value: time::Duration,
    route: &configuration::Route,
    (least, most): (f64, f64),
) -> time::Duration {
    let least = route.objective.mul_f64(least);
    let most = route.objective.mul_f64(most);
    value.clamp(least, most.max(least))
}

/// Time for which the caller has waited before its request was received.
fn setup_time(
    route: &configuration::Route,
    caller_timeout: Option<time::Duration>,
) -> time::Duration {
    let spent = caller_timeout.map_or(time::Duration::ZERO, |timeout| {
        route.timeout.saturating_sub(timeout)
    });
    match spent <= route.objective.mul_f64(MAX_SETUP_SHARE) {
        true => spent,
        false => time::Duration::ZERO,
    }
}
