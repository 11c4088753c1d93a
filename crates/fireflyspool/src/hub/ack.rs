//! Acknowledgement of a batch.

use crate::ids;

/// Confirms to the sender of a batch that it was received and merged.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Ack {
    /// Incarnation of the receiving hub; a new one needs all records again.
    pub incarnation: ids::Incarnation,
    /// Whether it accepts sightings of entry VMs whose records it has; earlier releases
    /// expect their records in each regular batch.
    #[serde(default)]
    pub sightings: bool,
}
