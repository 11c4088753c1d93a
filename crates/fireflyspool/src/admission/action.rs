//! Decisions of admission.

use std::time;

use crate::{ids, outcome};

/// Decision about one request. Each ticket gets exactly one, unless its caller
/// disconnects first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the request now.
    Start {
        /// Ticket of the request.
        ticket: ids::Ticket,
    },
    /// Refuse the request, which has not run.
    Refuse {
        /// Ticket of the request.
        ticket: ids::Ticket,
        /// Reason that is reported to the caller.
        reason: outcome::RefusalReason,
        /// Time after which the caller may try again.
        retry_after: time::Duration,
    },
}
