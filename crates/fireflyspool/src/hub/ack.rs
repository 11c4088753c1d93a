//! Acknowledgement of a batch.

use crate::{hub, ids};

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
    /// End of the log of the receiving VM; absent if it is no voter, and from earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub log: Option<hub::LogTail>,
}
