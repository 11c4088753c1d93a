//! Settings of a fleet.

use std::time;

/// Limits that all entry VMs share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Repeated requests for each request, over all entry VMs.
    pub repeat_ratio: f64,
    /// Repeated requests in a window beyond the ratio, over all entry VMs.
    pub repeat_slack: f64,
    /// Length of the window.
    pub repeat_window: time::Duration,
}
