//! Content of a command.

use std::net;

use crate::{ids, state};

/// What a command asks for.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Directive {
    /// Change of the catalog.
    Change(state::Change),
    /// Adds a voter to the control group.
    ///
    /// The driver proposes the command after the membership change is
    /// committed; here only its receipt is recorded.
    AddControl {
        /// Control VM to add.
        node: ids::NodeId,
        /// Address of its listener for other processes of the tier.
        rpc: net::SocketAddr,
    },
    /// Removes a voter from the control group, under the same rule.
    RemoveControl {
        /// Control VM to remove.
        node: ids::NodeId,
    },
}
