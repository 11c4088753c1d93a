//! Backend server picked for an attempt.

use std::net;

use crate::ids;

/// Backend server for one attempt, with the token that identifies the attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PickedServer {
    /// Identifies the attempt in calls of [`crate::fleet::Fleet`].
    pub token: ids::Ticket,
    /// Name of the backend server.
    pub server: ids::ServerName,
    /// Start time of its incarnation.
    pub born: ids::BornMillis,
    /// Address of the backend server for requests.
    pub address: net::SocketAddr,
    /// Whether the backend server is in the zone of this VM.
    pub local: bool,
    /// Idle connections that this VM may keep to it; `None` for the usual number.
    pub kept: Option<usize>,
}
