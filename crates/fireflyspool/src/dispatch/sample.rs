//! One service time.

use std::time;

use crate::dispatch::fleet;

/// Service time of one attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) taken: time::Instant,
    pub(super) server: fleet::ServerKey,
    pub(super) micros: u32,
}
