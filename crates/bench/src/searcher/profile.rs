//! Identity and behaviour of one searcher.

use std::net;

use fireflyspool::{backend, ids};

use crate::searcher;

/// What one searcher is and hosts.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Name.
    pub name: ids::ServerName,
    /// Service it belongs to.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address to announce; port 0 takes a free port.
    #[serde(default = "any_port")]
    pub address: net::SocketAddr,
    /// Shards it hosts at the start.
    #[serde(default)]
    pub hosted: Vec<backend::HostedShard>,
    /// Limits and faults.
    #[serde(default)]
    pub behaviour: searcher::Behaviour,
}

/// Loopback address with a free port.
pub(super) fn any_port() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}
