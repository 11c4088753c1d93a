//! Attempt as the driver knows it.

use std::time;

use fireflyspool::dispatch;

/// Request that the driver has sent.
#[derive(Clone, Debug)]
pub(crate) struct DriverAttempt {
    pub(crate) sub: u64,
    pub(crate) server: usize,
    /// Incarnation of the process that received it.
    pub(crate) process: u64,
    pub(crate) at: time::Instant,
    pub(crate) deadline: time::Instant,
    pub(crate) body: dispatch::Body,
    pub(crate) fingerprint: u64,
    /// Whether the driver still waits for a reply.
    pub(crate) open: bool,
}
