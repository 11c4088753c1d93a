//! Founding member of the control group.

use std::net;

use crate::ids;

/// Control VM and the address on which other processes of the tier reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ControlPeer {
    /// Number of the VM.
    pub node: ids::NodeId,
    /// Address of its listener for other processes of the tier.
    pub rpc: net::SocketAddr,
}
