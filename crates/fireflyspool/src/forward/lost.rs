//! Part without an answer.

use crate::forward;

/// State of a part for which nothing more is tried.
#[derive(Debug)]
pub struct Lost {
    /// Whether an attempt may have run.
    pub(super) ran: bool,
    /// Whether nothing was sent, to spare the service.
    pub(super) skipped: bool,
    /// Last unsuccessful answer of a backend server.
    pub(super) failure: Option<forward::Answer>,
}
