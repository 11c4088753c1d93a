//! Record of an entry VM in the roster.

use std::net;

use crate::ids;

/// Entry VM that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Number of the VM.
    pub node: ids::NodeId,
    /// Incarnation of its process.
    pub incarnation: ids::Incarnation,
    /// Availability zone of the VM.
    pub zone: ids::ZoneName,
    /// Address for callers.
    pub http: net::SocketAddr,
    /// Address for other processes of the tier.
    pub rpc: net::SocketAddr,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Share of its capacity in use, in permille, as of its last renewal.
    pub load: u32,
}
