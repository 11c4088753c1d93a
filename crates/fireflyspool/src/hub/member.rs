//! An entry VM.

use std::net;

use crate::ids;

/// What an entry VM says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Address for callers; names the VM.
    pub callers: net::SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Region.
    pub region: String,
    /// Random number of this process.
    pub incarnation: ids::Incarnation,
    /// Whether it serves and is to be named to callers.
    pub ready: bool,
}
