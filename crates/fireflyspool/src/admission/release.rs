//! Release of a read that waited for an identical one.

use crate::{ids, outcome};

/// How a read continues after the identical one that it waited for has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Release {
    /// The read gets the outcome of the identical one.
    Answered {
        /// Ticket of the read.
        ticket: ids::Ticket,
        /// Outcome with the request id and deadline of this read.
        outcome: outcome::Outcome,
    },
    /// The answer was insufficient, and the read has enough time left to run itself.
    Lead {
        /// Ticket of the read.
        ticket: ids::Ticket,
    },
}
