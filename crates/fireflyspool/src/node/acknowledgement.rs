//! Answer to the report of a backend server.

use std::net;

/// Acknowledgement of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Address for later reports.
    pub address: net::SocketAddr,
}
