//! Description of a control VM.

use std::net;

use crate::ids;

/// Addresses and zone that a control VM reports in its batches.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HubInfo {
    /// Listener for other processes of the tier.
    pub rpc: net::SocketAddr,
    /// Address for backend servers and operators.
    pub control: net::SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Incarnation of the VM's process.
    pub incarnation: ids::Incarnation,
}
