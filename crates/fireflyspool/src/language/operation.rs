//! Operation that a command requests.

use std::net;

use crate::{ids, state};

/// Operation on the catalog or on the membership of the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Applies a change to the catalog.
    Change(state::Change),
    /// Adds a VM to the control group.
    AddControl {
        /// Number of the VM.
        node: ids::NodeId,
        /// Incarnation of its data folder, as printed by `data init`.
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
