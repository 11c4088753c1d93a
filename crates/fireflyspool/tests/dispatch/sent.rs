//! Attempt at the driver.

use std::time;

use fireflyspool::dispatch;

/// Request that the driver has sent and not yet closed.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) sub: u64,
    pub(crate) server: usize,
    /// Process that received it.
    pub(crate) process: u64,
    pub(crate) at: time::Instant,
    pub(crate) deadline: time::Instant,
    pub(crate) body: dispatch::Body,
    pub(crate) fingerprint: u64,
    /// Whether the driver still waits for its reply.
    pub(crate) open: bool,
}
