//! Wire format of the reply to an address query.

use std::net;

/// Reply of the directory to a caller.
#[derive(Debug)]
#[derive(serde::Serialize)]
pub(super) struct AddressAnswer {
    /// Entry VMs, by their addresses for callers.
    #[serde(rename = "addrs")]
    pub(super) addresses: Vec<net::SocketAddr>,
    /// Seconds for which the caller may cache the addresses.
    #[serde(rename = "ttl_s")]
    pub(super) lifetime: f64,
}
