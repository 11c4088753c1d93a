//! What admission decides.

use std::time;

use crate::{ids, outcome};

/// Decision about one request; each ticket gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run it now.
    Start {
        /// Ticket of the request.
        ticket: ids::Ticket,
    },
    /// Refuse it; nothing of it ran.
    Refuse {
        /// Ticket of the request.
        ticket: ids::Ticket,
        /// Reason for the caller.
        reason: outcome::RefusalReason,
        /// When to try again.
        retry_after: time::Duration,
    },
}
