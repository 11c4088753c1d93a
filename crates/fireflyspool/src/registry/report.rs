//! What a backend server says about itself.

use std::{net, time};

use crate::{ids, registry};

/// Heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Backend server.
    pub server: ids::ServerName,
    /// Start time of this incarnation.
    pub born: ids::BornMillis,
    /// Grows with each report of one incarnation.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: ids::ServiceName,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Phase.
    pub phase: registry::Phase,
    /// How much longer it stays cold.
    pub cold_left: time::Duration,
}
