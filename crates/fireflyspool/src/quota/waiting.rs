//! Request that waits for a token.

use std::time;

use crate::ids;

/// Request of a limited account.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: ids::Ticket,
    /// When it is refused if it has no token.
    pub(super) deadline: time::Instant,
    /// Random number in `0.0..1.0` that spreads the times at which refused callers return.
    pub(super) spread: f64,
}
