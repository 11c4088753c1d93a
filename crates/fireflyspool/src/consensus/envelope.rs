//! Addressed message.

use crate::{consensus, ids};

/// Message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Envelope {
    /// Number of the sending VM.
    pub from: ids::NodeId,
    /// Incarnation of the sender's data folder.
    pub from_incarnation: ids::Incarnation,
    /// Number of the receiving VM.
    pub to: ids::NodeId,
    /// Incarnation of the receiver's data folder; unknown only during bootstrap.
    pub to_incarnation: Option<ids::Incarnation>,
    /// Request or reply.
    pub message: consensus::Message,
}
