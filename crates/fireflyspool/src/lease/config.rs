//! Configuration of a lease holder.

use std::time;

use crate::roster;

/// Configuration of a [`crate::lease::Holder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time after which a received announcement is no longer forwarded to the leader.
    pub announcement_lifetime: time::Duration,
    /// Time since the last announcement for which the incarnation of a backend server is kept.
    pub incarnation_retention: time::Duration,
    /// Maximum number of announcements, and of incarnations kept.
    pub server_limit: usize,
    /// Maximum number of crashes reported but not yet acknowledged by a leader, and of contents
    /// with a crash warning.
    pub crash_limit: usize,
}

impl Default for Config {
    fn default() -> Self {
        let roster = roster::Config::default();
        Self {
            announcement_lifetime: roster.announcement_lifetime,
            incarnation_retention: roster.incarnation_retention,
            server_limit: roster.server_limit,
            crash_limit: 64,
        }
    }
}
