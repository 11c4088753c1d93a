//! Latency of the attempts of one route.

use std::time;

use crate::fleet;

/// Initial typical latency, as a share of the route's latency objective.
const INITIAL_TYPICAL_SHARE: f64 = 0.12;

/// Initial high latency, as a share of the route's latency objective.
const INITIAL_HIGH_SHARE: f64 = 0.25;

/// Quantile of the latency after which an attempt counts as overdue.
const HIGH_QUANTILE: f64 = 0.95;

/// Initial high latency of groups, as a share of the route's latency objective.
const INITIAL_GROUP_SHARE: f64 = 0.45;

/// Estimates of the median and of a high quantile.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteLatency {
    pub(super) typical: fleet::Quantile,
    pub(super) high: fleet::Quantile,
    /// High quantile of the time until another entry VM first answers a group.
    pub(super) group: fleet::Quantile,
}

impl RouteLatency {
    pub(super) fn new(objective: time::Duration) -> Self {
        Self {
            typical: fleet::Quantile::new(0.5, objective.mul_f64(INITIAL_TYPICAL_SHARE)),
            high: fleet::Quantile::new(HIGH_QUANTILE, objective.mul_f64(INITIAL_HIGH_SHARE)),
            group: fleet::Quantile::new(HIGH_QUANTILE, objective.mul_f64(INITIAL_GROUP_SHARE)),
        }
    }
}
