//! Message between hubs.

use crate::{hub, registry};

/// News of one hub for another.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Batch {
    /// Sender.
    pub from: hub::Origin,
    /// Changed backend servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<registry::Record>,
    /// Backend servers that reported to the sender without other news.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sightings: Vec<registry::Sighting>,
    /// Entry VMs that follow the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<hub::MemberRecord>,
}
