//! Check of a backend server that may have ended under an attempt that was given up.

use std::net;

use crate::ids;

/// Backend server whose listener is to be checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    /// Name of the backend server.
    pub server: ids::ServerName,
    /// Start time of its incarnation.
    pub born: ids::BornMillis,
    /// Address of the backend server.
    pub address: net::SocketAddr,
    /// Idle connections that may be kept to it; `None` for the usual number.
    pub kept: Option<usize>,
}
