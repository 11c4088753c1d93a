//! Report of a leaving server that is not acknowledged yet.

use std::time;

use crate::{ids, registry};

/// Report or deregistration of a leaving server that waits for the hubs and the log.
pub(super) struct PendingDeparture {
    pub(super) ticket: ids::Ticket,
    pub(super) departure: registry::Departure,
    /// Whether the replicated log holds the departure.
    pub(super) recorded: bool,
    /// Position that a majority of the hubs must acknowledge.
    pub(super) position: ids::ChangePosition,
    pub(super) deadline: time::Instant,
}
