//! Answer to the question which address to use.

use std::{net, time};

use crate::ids;

/// Addresses in order of preference, with the time for which they may be kept.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AddressAnswer {
    /// Service that was asked for.
    pub service: ids::ServiceName,
    /// Addresses, the preferred one first.
    pub addresses: Vec<net::SocketAddr>,
    /// Time for which the answer may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

impl AddressAnswer {
    /// Time for which the answer may be kept.
    pub fn lifetime(&self) -> time::Duration {
        time::Duration::from_millis(self.lifetime_ms)
    }
}
