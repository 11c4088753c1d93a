//! Orders that replace state as a whole.

use std::net;

use crate::{configuration, ids};

/// Order that may be repeated without a number of its own.
///
/// Unlike a [`crate::state::Command`] it needs no receipt: its effect depends
/// only on the state, so that a resend finds it done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotentCommand {
    /// Replaces the routing configuration if its version is higher.
    Configure(configuration::Document),
    /// Takes an availability zone out.
    TakeOutZone {
        /// Zone that receives no new work.
        zone: ids::ZoneName,
    },
    /// Brings an availability zone back.
    BringBackZone {
        /// Zone that receives work again.
        zone: ids::ZoneName,
    },
    /// Adds a VM to the control group; an earlier one at its address is removed.
    Join {
        /// Number of the VM.
        node: ids::NodeId,
        /// Incarnation of its data folder.
        incarnation: ids::Incarnation,
        /// Its listener for other processes of the tier.
        rpc: net::SocketAddr,
    },
    /// Removes a VM from the control group.
    Retire {
        /// Number of the VM.
        node: ids::NodeId,
    },
    /// Reads the configuration.
    ///
    /// It passes through the log, so that the answer is the newest one also if
    /// the leader has been replaced without its knowledge.
    Read,
}
