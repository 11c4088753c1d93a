//! What happens to a read that waited for an identical one.

use crate::{ids, outcome};

/// End of waiting of one read.
#[derive(Clone, Debug, PartialEq)]
pub enum Release {
    /// It has its outcome, under its own request id and deadline.
    Answered {
        /// Ticket of the read.
        ticket: ids::Ticket,
        /// Its outcome.
        outcome: outcome::Outcome,
    },
    /// The answer of the other run is of no use to it, and it has time to run itself.
    Lead {
        /// Ticket of the read.
        ticket: ids::Ticket,
    },
}
