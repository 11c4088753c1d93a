//! What the oracle knows of a sub-request.

use std::time;

use fireflyspool::dispatch;

/// Sub-request with its true history.
#[derive(Debug)]
pub(crate) struct Sub {
    pub(crate) request: dispatch::SubRequest,
    pub(crate) deadline: time::Instant,
    /// Whether any backend server has begun to run it.
    pub(crate) ran: bool,
    /// Times that any byte of it left.
    pub(crate) left: u32,
    /// Whether its result was reported.
    pub(crate) ended: bool,
    /// Servers that must not receive it again.
    pub(crate) refused_by: Vec<usize>,
}
