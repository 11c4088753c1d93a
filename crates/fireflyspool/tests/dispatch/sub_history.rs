//! Sub-request as the oracle knows it.

use std::time;

use fireflyspool::dispatch;

/// Sub-request with what happened to it.
#[derive(Debug)]
pub(crate) struct SubHistory {
    pub(crate) request: dispatch::SubRequest,
    pub(crate) deadline: time::Instant,
    /// Whether any backend server has started to run it.
    pub(crate) ran: bool,
    /// Attempts of which any byte was sent.
    pub(crate) send_count: u32,
    /// Whether its result was reported.
    pub(crate) ended: bool,
    /// Servers that were excluded or refused it, so they must not receive it.
    pub(crate) refused_by: Vec<usize>,
}
