//! One send to a backend server.

use std::{net, time};

use crate::ids;

/// Attempt to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Number of the attempt in its exchange.
    pub attempt: ids::AttemptId,
    /// Names the attempt for the fleet.
    pub token: ids::Ticket,
    /// Service.
    pub service: ids::ServiceName,
    /// Backend server.
    pub server: ids::ServerName,
    /// Its address.
    pub address: net::SocketAddr,
    /// When the backend server may stop.
    pub deadline: time::Instant,
}
