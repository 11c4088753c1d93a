//! An attempt under way.

use std::time;

use crate::ids;

/// Attempt that has not ended.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: ids::AttemptId,
    /// Names the attempt for the fleet.
    pub(super) token: ids::Ticket,
    pub(super) part: usize,
    pub(super) server: ids::ServerName,
    pub(super) sent: time::Instant,
    pub(super) overdue: bool,
}
