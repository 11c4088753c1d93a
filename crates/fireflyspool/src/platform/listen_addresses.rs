//! Table `ListenAddrs` of the settings file.

use std::net;

/// Addresses on which a process listens; absent where its role has none.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Deserialize)]
pub(super) struct ListenAddresses {
    /// For requests of callers.
    #[serde(rename = "Frontend")]
    pub(super) callers: Option<net::SocketAddr>,
    /// For the platform's readiness checks.
    #[serde(rename = "Ready")]
    pub(super) readiness: Option<net::SocketAddr>,
    /// For operators and backend servers.
    #[serde(rename = "Control")]
    pub(super) control: Option<net::SocketAddr>,
    /// For address queries of callers.
    #[serde(rename = "directory")]
    pub(super) directory: Option<net::SocketAddr>,
}
