//! A control VM that was added by a command.

use std::net;

use crate::ids;

/// Identity and address of a control VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ControlRecord {
    /// Incarnation of its data folder.
    pub incarnation: ids::Incarnation,
    /// Address of its listener for other processes of the tier.
    pub rpc: net::SocketAddr,
}
