//! Request that was sent to a backend server.

use std::time;

use crate::dispatch::{fleet, pending_sub};
use crate::ids;

/// Attempt that holds a permit of its backend server.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) sub: Box<pending_sub::PendingSub>,
    pub(super) server: fleet::ServerKey,
    /// Incarnation of the backend server that it was sent to.
    pub(super) incarnation: ids::Incarnation,
    pub(super) sent: time::Instant,
    /// Next timeout: the deadline, then the end of the margin after it.
    pub(super) timer: time::Instant,
    /// Whether the result was sent to the coordinator; the permit is still held.
    pub(super) reported: bool,
    /// Whether it still uses its connection.
    pub(super) holds_connection: bool,
}
