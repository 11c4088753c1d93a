//! Announcement of a backend server.

use std::net;

use crate::{backend, ids};

/// What a backend server says of itself about once a second.
///
/// Announcements are ordered by incarnation and sequence; an older one never
/// replaces a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// Name of the backend server.
    pub server: ids::ServerName,
    /// Grows with every start of the backend server.
    pub incarnation: ids::Incarnation,
    /// Grows with every announcement of one incarnation.
    pub sequence: u64,
    /// Service it belongs to.
    pub service: ids::ServiceName,
    /// Availability zone it stands in.
    pub zone: ids::ZoneName,
    /// Address of its HTTP listener.
    pub address: net::SocketAddr,
    /// Concurrent requests it bears.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Phase of its life.
    pub phase: backend::Phase,
    /// Shards it can answer for, ascending.
    pub hosted: Vec<backend::HostedShard>,
    /// Load as it reports it; a hint that may lag or mislead.
    pub load: backend::Load,
}
