//! Attempt whose end nobody saw.

use std::{net, time};

use crate::ids;

/// Attempt that was given up while its backend server may have gone on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// Request of the attempt, for logs.
    pub request: ids::RequestId,
    /// Content of the request.
    pub content: ids::Fingerprint,
    /// Service of the backend server.
    pub service: ids::ServiceName,
    /// Name of the backend server.
    pub server: ids::ServerName,
    /// Start time of its incarnation.
    pub born: ids::BornMillis,
    /// Address of the backend server.
    pub address: net::SocketAddr,
    /// Idle connections that may be kept to it; `None` for the usual number.
    pub kept: Option<usize>,
    /// Whether the attempt was a probe of its content.
    pub probe: bool,
    /// Until when the server may run it, as it was told.
    pub until: time::Instant,
}
