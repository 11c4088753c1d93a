//! Response of the tier about its addresses.

use std::net;

use fireflyspool::ids;

/// Addresses that a caller may use for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AddressAnswer {
    /// Service.
    pub service: ids::ServiceName,
    /// Addresses, the first usable one is to be used.
    pub addresses: Vec<net::SocketAddr>,
    /// Time for which the response may be kept, in milliseconds.
    pub lifetime_ms: u64,
}
