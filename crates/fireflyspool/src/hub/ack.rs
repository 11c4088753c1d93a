//! Answer to a batch.

use crate::ids;

/// Tells the sender of a batch that it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Ack {
    /// Incarnation of the receiving hub; a new one needs all records.
    pub incarnation: ids::Incarnation,
}
