//! Settings about client accounts.

use std::time;

/// Bounds of keys and quotas of client accounts over all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountLimits {
    /// Time from the acknowledgement of a configuration without a key after which no request
    /// with that key may start; `None` if there is no such bound.
    pub revocation: Option<time::Duration>,
    /// Window over which a quota is counted.
    pub window: time::Duration,
    /// Share of a quota by which a window may exceed it.
    pub overshoot: f64,
    /// Requests by which a window may exceed a quota beyond that share.
    pub slack: f64,
}
