//! Addressed message.

use crate::{consensus, ids};

/// Message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: ids::NodeId,
    /// Incarnation of the sender's data folder.
    pub from_incarnation: ids::Incarnation,
    /// Receiver.
    pub to: ids::NodeId,
    /// Incarnation of the receiver's data folder; unknown only during formation.
    pub to_incarnation: Option<ids::Incarnation>,
    /// Content.
    pub message: consensus::Message,
}
