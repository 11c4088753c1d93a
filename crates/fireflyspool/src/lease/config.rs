//! Durations and bounds of a holder.

use std::time;

use crate::roster;

/// Settings of a [`crate::lease::Holder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time after which an announcement is no longer forwarded.
    pub announcement_lifetime: time::Duration,
    /// Time for which the incarnation of a gone backend server is remembered.
    pub incarnation_retention: time::Duration,
    /// Most backend servers remembered.
    pub server_limit: usize,
    /// Most crashes that wait for a leader to confirm them.
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
