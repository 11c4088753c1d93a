//! An entry VM that follows a hub.

use std::net;

use crate::ids;

/// Address, location and readiness that an entry VM reports in its polls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Address for callers; identifies the VM.
    pub callers: net::SocketAddr,
    /// Listener for groups of shards that others delegate; `None` in earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listener: Option<net::SocketAddr>,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Region that contains the zone.
    pub region: String,
    /// Incarnation of the VM's process.
    pub incarnation: ids::Incarnation,
    /// Whether callers may be sent to it.
    pub ready: bool,
}
