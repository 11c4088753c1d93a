//! Answer to a report.

use std::net;

/// Acknowledgement of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Address for later reports.
    pub address: net::SocketAddr,
}
