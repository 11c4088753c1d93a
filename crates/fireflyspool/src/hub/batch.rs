//! Message between hubs.

use crate::{hub, ids, registry};

/// News of one hub for another.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Batch {
    /// Sender.
    pub from: hub::HubInfo,
    /// Version of its configuration.
    #[serde(default)]
    pub version: ids::ConfigVersion,
    /// Revision of its zones.
    #[serde(default)]
    pub revision: ids::Revision,
    /// Changed backend servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<registry::Record>,
    /// Backend servers that reported to the sender without other news.
    #[serde(rename = "sightings", default, skip_serializing_if = "Vec::is_empty")]
    pub refreshes: Vec<registry::Refresh>,
    /// Backend servers that entry VMs find slow or failing.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outliers: Vec<ids::ServerName>,
    /// Entry VMs that follow the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<hub::MemberRecord>,
}
