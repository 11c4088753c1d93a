//! Start of one attempt.

use std::{net, time};

use crate::ids;

/// Attempt to start, with the backend server chosen for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Number of the attempt in its exchange.
    pub attempt: ids::AttemptId,
    /// Identifies the attempt to the fleet.
    pub token: ids::Ticket,
    /// Service of the backend server.
    pub service: ids::ServiceName,
    /// Backend server that gets the request.
    pub server: ids::ServerName,
    /// Start time of its incarnation.
    pub born: ids::BornMillis,
    /// Address of the backend server.
    pub address: net::SocketAddr,
    /// Idle connections that may be kept to it; `None` for the usual number.
    pub kept: Option<usize>,
    /// Whether it probes a content under which servers may crash, so that it goes on to its end
    /// even if the request is given up.
    pub probe: bool,
    /// When the attempt times out; the backend server is told the time left.
    pub deadline: time::Instant,
}
