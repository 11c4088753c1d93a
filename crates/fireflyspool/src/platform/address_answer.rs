//! Answer to a question for addresses on the wire.

use std::net;

/// Addresses and how long they may be kept.
#[derive(Debug)]
#[derive(serde::Serialize)]
pub(super) struct AddressAnswer {
    /// Entry VMs.
    #[serde(rename = "addrs")]
    pub(super) addresses: Vec<net::SocketAddr>,
    /// Seconds for which the answer may be kept.
    #[serde(rename = "ttl_s")]
    pub(super) lifetime: f64,
}
