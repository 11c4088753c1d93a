//! Reply to a backend server that reported or left.

use std::net;

/// Confirms that enough control VMs hold a report or departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Control VM to which the backend server sends its next report.
    pub address: net::SocketAddr,
}
