//! Part that waits for an answer.

use std::time;

use crate::ids;

/// State of a part that may still be filled.
#[derive(Debug, Default)]
pub struct Open {
    /// Backend servers that got an attempt.
    pub(super) tried: Vec<ids::ServerName>,
    /// Attempts that may have run.
    pub(super) ran: usize,
    /// Attempts that certainly did not run.
    pub(super) rejected: usize,
    /// Attempts under way.
    pub(super) running: usize,
    /// When the newest attempt is overdue.
    pub(super) hedge_at: Option<time::Instant>,
    /// Whether the service is spared, because it fails most requests.
    pub(super) skipped: bool,
    /// Whether a refused attempt waits for the decision to retry.
    pub(super) refused: bool,
    /// Since when no backend server is free for a first attempt.
    pub(super) starved: Option<time::Instant>,
}
