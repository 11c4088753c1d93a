//! The platform's table of addresses.

use std::net;

/// Addresses on which a process listens, as far as its role has them.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Deserialize)]
pub(super) struct ListenAddresses {
    /// For callers.
    #[serde(rename = "Frontend")]
    pub(super) callers: Option<net::SocketAddr>,
    /// For the platform's readiness checks.
    #[serde(rename = "Ready")]
    pub(super) readiness: Option<net::SocketAddr>,
    /// For operators and backend servers.
    #[serde(rename = "Control")]
    pub(super) control: Option<net::SocketAddr>,
    /// For callers that ask for addresses.
    #[serde(rename = "directory")]
    pub(super) directory: Option<net::SocketAddr>,
}
