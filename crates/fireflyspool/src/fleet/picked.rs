//! A chosen backend server.

use std::net;

use crate::ids;

/// Backend server for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Picked {
    /// Names the attempt that it is picked for.
    pub token: ids::Ticket,
    /// Backend server.
    pub server: ids::ServerName,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Whether it is in the zone of this VM.
    pub local: bool,
}
