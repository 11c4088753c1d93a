//! Poll of an entry VM.

use crate::{hub, ids};

/// What an entry VM has and wants to know.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct FollowRequest {
    /// The entry VM.
    pub member: hub::Member,
    /// Incarnation of the hub to which `position` belongs.
    pub incarnation: ids::Incarnation,
    /// Position in the change log of that hub.
    pub position: ids::ChangePosition,
    /// Version of its configuration, 0 without one.
    pub version: ids::ConfigVersion,
    /// Revision of the zones taken out that it knows.
    pub revision: ids::Revision,
    /// Revision of the list of outliers that it knows.
    pub outlier_revision: u64,
    /// Number of control VMs that it knows.
    pub hubs: usize,
    /// Backend servers that it does not use until they report again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspended: Vec<ids::ServerName>,
}
