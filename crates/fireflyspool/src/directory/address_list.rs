//! Entry VM addresses for a caller.

use std::{net, time};

use crate::ids;

/// Addresses of entry VMs in order of preference, with their lifetime.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AddressList {
    /// Service that the caller asked for.
    pub service: ids::ServiceName,
    /// Addresses, the preferred one first.
    pub addresses: Vec<net::SocketAddr>,
    /// Time for which the caller may use the addresses, in milliseconds.
    pub lifetime_ms: u64,
}

impl AddressList {
    /// Time for which the caller may use the addresses.
    pub fn lifetime(&self) -> time::Duration {
        time::Duration::from_millis(self.lifetime_ms)
    }
}
