//! Configuration of the leader's soft state.

use std::time;

/// Default duration of a lease, from each renewal.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(3);

/// Default time between two regular renewals of an entry VM.
pub const RENEWAL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Default time without an announcement after which a backend server is dropped.
pub const ANNOUNCEMENT_LIFETIME: time::Duration = time::Duration::from_secs(5);

/// Configuration of a [`crate::roster::Roster`]; must be equal on all control VMs of a site.
///
/// A new leader waits for its own `lease` duration until leases that it does not know
/// have expired. With a shorter one than its predecessor it could reassign a backend
/// server too early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Duration of a lease, from each renewal.
    pub lease: time::Duration,
    /// Time without an announcement after which a backend server is dropped.
    pub announcement_lifetime: time::Duration,
    /// Time since the last announcement for which the incarnation of a backend server is kept.
    pub incarnation_retention: time::Duration,
    /// Maximum number of backend servers, and of incarnations kept.
    pub server_limit: usize,
    /// Time without a further crash after which a fingerprint is no longer suspect.
    pub suspect_retention: time::Duration,
    /// Maximum number of suspect fingerprints.
    pub suspect_limit: usize,
    /// Changes kept for deltas; a holder that is further behind gets the whole roster.
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
