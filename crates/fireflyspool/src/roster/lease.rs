//! Lease of one holder.

use std::time;

use crate::ids;

/// Outstanding lease as the leader tracks it.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) until: time::Instant,
    /// Newest catalog revision that the holder has confirmed.
    pub(super) revision: ids::Revision,
    /// Greatest number of a handled renewal request.
    pub(super) number: u64,
    /// Backend servers that it holds or has claimed to hold, ascending.
    pub(super) servers: Vec<ids::ServerName>,
}
