//! Sample of the service times.

use std::time;

use crate::dispatch::fleet;

/// Service time of one attempt at a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) taken: time::Instant,
    pub(super) server: fleet::ServerKey,
    pub(super) micros: u32,
}
