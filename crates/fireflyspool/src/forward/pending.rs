//! Sub-request that waits for a response.

use std::time;

use crate::ids;

/// State of a sub-request that may still get a response.
#[derive(Debug, Default)]
pub struct Pending {
    /// Backend servers that got an attempt.
    pub(super) tried: Vec<ids::ServerName>,
    /// Ended attempts that may have run.
    pub(super) ran: usize,
    /// Ended attempts that certainly did not run.
    pub(super) rejected: usize,
    /// Attempts that have not ended.
    pub(super) running: usize,
    /// When to hedge the newest attempt, to decide on a retry, or to look again
    /// for a free backend server.
    pub(super) wake_at: Option<time::Instant>,
    /// Whether nothing is sent, to reduce the load of a saturated service.
    pub(super) skipped: bool,
    /// Whether the decision to retry a rejected attempt is pending.
    pub(super) retry_pending: bool,
    /// Whether it waits for the response of a server to another attempt of the content.
    pub(super) parked: bool,
    /// Whether a server crashed during an attempt.
    pub(super) crashed: bool,
    /// Since when no backend server is free for a first attempt.
    pub(super) queued_since: Option<time::Instant>,
}

impl Pending {
    /// Adds backend servers that are to get no further attempt.
    pub(super) fn exclude(&mut self, servers: Vec<ids::ServerName>) {
        for server in servers {
            if !self.tried.contains(&server) {
                self.tried.push(server);
            }
        }
    }
}
