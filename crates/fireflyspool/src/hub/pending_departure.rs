//! Report of a leaving server that is not acknowledged yet.

use std::time;

use crate::ids;

/// Report or deregistration of a leaving server that waits for a majority of the hubs.
pub(super) struct PendingDeparture {
    pub(super) ticket: ids::Ticket,
    /// Position that a majority of the hubs must acknowledge.
    pub(super) position: ids::ChangePosition,
    pub(super) deadline: time::Instant,
}
