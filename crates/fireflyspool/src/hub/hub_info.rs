//! A control VM.

use std::net;

use crate::ids;

/// Listener and place of a control VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HubInfo {
    /// Listener for other processes of the tier.
    pub rpc: net::SocketAddr,
    /// Address for backend servers and operators.
    pub control: net::SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Random number of this process.
    pub incarnation: ids::Incarnation,
}
