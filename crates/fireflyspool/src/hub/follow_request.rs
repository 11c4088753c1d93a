//! Poll of an entry VM.

use crate::{containment, hub, ids};

/// Heartbeat of an entry VM with the versions that it holds, so that the hub sends only
/// what it lacks.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct FollowRequest {
    /// The polling entry VM.
    pub member: hub::Member,
    /// Incarnation of the hub to which `position` belongs; 0 if there is none yet.
    pub incarnation: ids::Incarnation,
    /// Position in the change log of that hub.
    pub position: ids::ChangePosition,
    /// Whether the hub is to send all its backend servers if `incarnation` is not its own.
    #[serde(default = "wants_records")]
    pub records: bool,
    /// Version of the entry VM's configuration; 0 if it has none.
    pub version: ids::ConfigVersion,
    /// Catalog revision of its list of zones taken out.
    pub revision: ids::Revision,
    /// Revision of its rollouts; 0 if it has none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rollout_revision: ids::Revision,
    /// Revision of its list of outliers.
    pub outlier_revision: u64,
    /// Position in the hub's contents that crash servers; 0 if it has none of them.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub content_position: u64,
    /// Contents that crash servers, which the hub may lack.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub contents: Vec<containment::Record>,
    /// [`hub::HubInfo::checksum`] of its list of control VMs. Earlier releases send their
    /// number, which matches no checksum but that of an empty list.
    pub hubs: u64,
    /// [`hub::Delegate::checksum`] of the entry VMs to which it may delegate; `None` if it wants
    /// none, like earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delegates: Option<u64>,
    /// Backend servers that it does not use until their next heartbeat.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspended: Vec<ids::ServerName>,
}

/// Earlier releases do not send the field and expect all backend servers.
fn wants_records() -> bool {
    true
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}
