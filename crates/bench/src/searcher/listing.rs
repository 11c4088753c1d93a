//! Addresses of a running searcher.

use std::net;

use fireflyspool::{backend, ids};

/// Line that tells the load tool where a searcher is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// Name.
    pub server: ids::ServerName,
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Announced address.
    pub address: net::SocketAddr,
    /// Address for `/control`; it bypasses the connection limit.
    pub control: net::SocketAddr,
    /// Shards hosted at the start.
    pub hosted: Vec<backend::HostedShard>,
}
