//! Operations of commands.

use std::net;

use crate::{ids, state};

/// What a command does.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Change of the catalog.
    Change(state::Change),
    /// Adds a control VM.
    ///
    /// The command records what the operator wants; the leader then adds the
    /// VM as a learner and promotes it once it has caught up.
    AddControl {
        /// Control VM to add.
        node: ids::NodeId,
        /// Incarnation of its data folder.
        incarnation: ids::Incarnation,
        /// Address of its listener for other processes of the tier.
        rpc: net::SocketAddr,
    },
    /// Removes a control VM, whose number is never used again.
    RemoveControl {
        /// Control VM to remove.
        node: ids::NodeId,
    },
}
