//! A lease that may be outstanding.

use std::time;

use crate::ids;

/// Lease of one holder as the leader counts it.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) until: time::Instant,
    pub(super) revision: ids::Revision,
    pub(super) number: u64,
    /// Backend servers that it holds or has claimed to hold, ascending.
    pub(super) servers: Vec<ids::ServerName>,
}
