//! Sub-request without a response.

use crate::{forward, ids};

/// State of a sub-request that gets no further attempt.
#[derive(Debug)]
pub struct Failed {
    /// Backend servers that got an attempt.
    pub(super) tried: Vec<ids::ServerName>,
    /// Whether an attempt may have run.
    pub(super) ran: bool,
    /// Whether a server crashed during an attempt.
    pub(super) crashed: bool,
    /// Whether nothing was sent, to reduce the load of a saturated service.
    pub(super) skipped: bool,
    /// Last unsuccessful response of a backend server.
    pub(super) failure: Option<forward::Response>,
}
