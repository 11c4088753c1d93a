//! Report of a backend server about itself.

use std::{net, time};

use crate::{ids, registry};

/// Content of a heartbeat, or of the message that a backend server sends when it leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Name of the backend server.
    pub server: ids::ServerName,
    /// Start time of the incarnation.
    pub born: ids::BornMillis,
    /// Sequence number of the report, ascending within one incarnation.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: ids::ServiceName,
    /// Address that accepts requests.
    pub address: net::SocketAddr,
    /// Zone that it runs in.
    pub zone: ids::ZoneName,
    /// Version of its program; empty if it reports none.
    pub version: ids::ServerVersion,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Phase of the incarnation.
    pub phase: registry::Phase,
    /// Remaining time of its cold phase; zero if it is warm.
    pub cold_left: time::Duration,
}
