//! Message from one hub to another.

use std::net;

use crate::{containment, hub, ids, registry};

/// Changes that the receiver lacks, with a heartbeat of the sender.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Batch {
    /// The sending hub.
    pub from: hub::HubInfo,
    /// Version of the sender's configuration; 0 if it has none.
    #[serde(default)]
    pub version: ids::ConfigVersion,
    /// Catalog revision of the sender's list of zones taken out.
    #[serde(default)]
    pub revision: ids::Revision,
    /// Revision of the sender's rollouts.
    #[serde(default)]
    pub rollout_revision: ids::Revision,
    /// Backend servers that changed since the last acknowledged batch.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<registry::Record>,
    /// Backend servers that sent the sender a heartbeat without any other change.
    #[serde(rename = "sightings", default, skip_serializing_if = "Vec::is_empty")]
    pub refreshes: Vec<registry::Refresh>,
    /// Outliers that entry VMs reported to the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outliers: Vec<ids::ServerName>,
    /// Contents that crash servers, with what the receiver has not acknowledged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub contents: Vec<containment::Record>,
    /// Entry VMs that follow the sender and that the receiver does not know as they are;
    /// empty in batches sent ahead of the interval.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<hub::MemberRecord>,
    /// The other entry VMs that follow the sender, with the age of their last poll in
    /// milliseconds; empty in batches sent ahead of the interval.
    #[serde(rename = "seen", default, skip_serializing_if = "Vec::is_empty")]
    pub member_sightings: Vec<(net::SocketAddr, u64)>,
}
