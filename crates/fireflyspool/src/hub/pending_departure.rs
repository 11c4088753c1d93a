//! Report without an acknowledgement.

use std::time;

use crate::ids;

/// Report of a leaving server that waits for a majority.
pub(super) struct PendingDeparture {
    pub(super) ticket: ids::Ticket,
    pub(super) position: ids::ChangePosition,
    pub(super) until: time::Instant,
}
