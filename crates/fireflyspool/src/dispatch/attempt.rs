//! Request that was sent to a backend server.

use std::time;

use crate::dispatch::{fleet, waiting};
use crate::ids;

/// Attempt that holds a permit.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) entry: Box<waiting::Waiting>,
    pub(super) server: fleet::ServerKey,
    /// Incarnation of the backend server that it was sent to.
    pub(super) incarnation: ids::Incarnation,
    pub(super) sent: time::Instant,
    /// Time at which the attempt is looked at next: its deadline, then the end of the margin.
    pub(super) timer: time::Instant,
    /// Whether the coordinator has its result; the permit is still held.
    pub(super) reported: bool,
    /// Whether its connection is still in use.
    pub(super) linked: bool,
}
