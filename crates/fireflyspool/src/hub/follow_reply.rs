//! Answer to the poll of an entry VM.

use crate::{configuration, hub, ids, registry};

/// News for an entry VM.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct FollowReply {
    /// Incarnation of the hub that answers.
    pub incarnation: ids::Incarnation,
    /// Whether the hub reaches a majority of the control VMs and is up to date.
    pub current: bool,
    /// Configuration, if the entry VM lacks it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<configuration::Document>,
    /// Zones taken out, if the entry VM lacks them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<hub::ZonesOut>,
    /// Changed backend servers.
    pub changes: registry::ChangeSet,
    /// Latest heartbeats of the suspended servers that the poll names.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub confirmations: Vec<hub::Confirmation>,
    /// Revision of the list of outliers.
    pub outlier_revision: u64,
    /// Backend servers that entry VMs find slow or failing.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outliers: Vec<ids::ServerName>,
    /// Live entry VMs.
    pub members: usize,
    /// Control VMs, if the list changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hubs: Option<Vec<hub::HubInfo>>,
}
