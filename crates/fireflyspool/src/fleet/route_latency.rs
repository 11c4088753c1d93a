//! Latency of the attempts of one route.

use std::time;

use crate::fleet;

/// Share of the latency objective that a typical attempt takes until samples say otherwise.
const FIRST_TYPICAL: f64 = 0.12;

/// Share of the objective for the high quantile until samples say otherwise.
const FIRST_HIGH: f64 = 0.25;

/// Rank of the latency after which an attempt counts as overdue.
const HIGH_RANK: f64 = 0.95;

/// Typical and high latency.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteLatency {
    pub(super) typical: fleet::Quantile,
    pub(super) high: fleet::Quantile,
}

impl RouteLatency {
    pub(super) fn new(objective: time::Duration) -> Self {
        Self {
            typical: fleet::Quantile::new(0.5, objective.mul_f64(FIRST_TYPICAL)),
            high: fleet::Quantile::new(HIGH_RANK, objective.mul_f64(FIRST_HIGH)),
        }
    }
}
