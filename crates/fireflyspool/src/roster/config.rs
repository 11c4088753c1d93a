//! Durations and bounds of the leader's soft state.

use std::time;

/// Time for which a renewal grants a lease.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(3);

/// Time between two regular renewals of an entry VM.
pub const RENEWAL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time after the last announcement at which a backend server counts as gone.
pub const ANNOUNCEMENT_LIFETIME: time::Duration = time::Duration::from_secs(5);

/// Settings of a [`crate::roster::Roster`]; equal on all control VMs of a site.
///
/// A new leader waits its own `lease` for leases it does not know, so a leader
/// with a shorter one could reassign a backend server too early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time for which a renewal grants a lease.
    pub lease: time::Duration,
    /// Time after the last announcement at which a backend server counts as gone.
    pub announcement_lifetime: time::Duration,
    /// Time for which the incarnation of a gone backend server is remembered.
    pub incarnation_retention: time::Duration,
    /// Most backend servers remembered.
    pub server_limit: usize,
    /// Time after the last death at which a fingerprint is no longer suspect.
    pub suspect_retention: time::Duration,
    /// Most fingerprints remembered.
    pub suspect_limit: usize,
    /// Changes kept for deltas; a holder further behind gets the whole roster.
    pub change_limit: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            lease: LEASE_DURATION,
            announcement_lifetime: ANNOUNCEMENT_LIFETIME,
            incarnation_retention: time::Duration::from_secs(600),
            server_limit: 16_384,
            suspect_retention: time::Duration::from_secs(600),
            suspect_limit: 1_024,
            change_limit: 16_384,
        }
    }
}
