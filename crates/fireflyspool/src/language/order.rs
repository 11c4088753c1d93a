//! What a command asks for.

use std::net;

use crate::{ids, state};

/// Change of the catalog or of the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Changes the catalog.
    Change(state::Change),
    /// Adds a VM to the control group.
    AddControl {
        /// Number of the VM.
        node: ids::NodeId,
        /// Incarnation of its data folder, as `data init` printed it.
        incarnation: ids::Incarnation,
        /// Address of its listener for other processes of the tier.
        rpc: net::SocketAddr,
    },
    /// Removes a VM from the control group.
    RemoveControl {
        /// Number of the VM.
        node: ids::NodeId,
    },
}
