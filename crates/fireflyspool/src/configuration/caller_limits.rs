//! Limits on what a caller may send.

use std::time;

/// Limits on a connection of a caller and the requests on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: time::Duration,
}

impl Default for CallerLimits {
    /// Limits in force before the first configuration arrives.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}
