//! How a read gets its answer.

use crate::ids;

/// Whether a read runs itself or waits for an identical one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Join {
    /// It runs, and identical ones may wait for it.
    Lead,
    /// It waits for the run of this ticket.
    Follow {
        /// Ticket that runs.
        leader: ids::Ticket,
    },
}
