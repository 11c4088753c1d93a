//! A founding member of the control group.

use std::net;

use crate::ids;

/// Control VM with the address of its listener for other processes of the tier.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ControlPeer {
    /// Number of the VM.
    pub node: ids::NodeId,
    /// Address of its listener.
    pub rpc: net::SocketAddr,
}
