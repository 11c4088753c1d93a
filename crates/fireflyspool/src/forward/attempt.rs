//! A running attempt.

use std::time;

use crate::ids;

/// Attempt that has not ended.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: ids::AttemptId,
    /// Identifies the attempt to the fleet.
    pub(super) token: ids::Ticket,
    /// Index of the sub-request in its exchange.
    pub(super) index: usize,
    pub(super) server: ids::ServerName,
    /// When it was started, and once it is written, when that was done.
    pub(super) sent: time::Instant,
    pub(super) written: bool,
    pub(super) overdue: bool,
}
