//! Announcement of a backend server.

use std::net;

use crate::{backend, ids};

/// State that a backend server reports about once a second.
///
/// Announcements are ordered by incarnation and sequence; an older one never
/// replaces a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// Name of the backend server.
    pub server: ids::ServerName,
    /// Higher after every start of the backend server.
    pub incarnation: ids::Incarnation,
    /// Higher in every announcement of the same incarnation.
    pub sequence: u64,
    /// Service that the backend server belongs to.
    pub service: ids::ServiceName,
    /// Availability zone of the backend server.
    pub zone: ids::ZoneName,
    /// Address of its HTTP listener.
    pub address: net::SocketAddr,
    /// Number of requests it can run concurrently.
    pub slots: u32,
    /// Number of connections it accepts.
    pub connections: u32,
    /// Phase of its life cycle.
    pub phase: backend::Phase,
    /// Shards it can search, in ascending order.
    pub hosted: Vec<backend::HostedShard>,
    /// Load by its own account; a hint that may be stale or wrong.
    pub load: backend::Load,
}
