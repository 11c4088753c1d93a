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
    /// Start time of the server's incarnation.
    pub(super) born: ids::BornMillis,
    /// Whether it probes a content under which servers may crash.
    pub(super) probe: bool,
    /// When it was started, and once it is written, when that was done.
    pub(super) sent: time::Instant,
    pub(super) written: bool,
    pub(super) overdue: bool,
}
