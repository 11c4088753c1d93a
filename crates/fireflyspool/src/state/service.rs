//! A service that reads collections.

use std::time;

/// Limits of the backend servers of one service.
///
/// The lower of these limits and those that a backend server announces apply.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Concurrent requests that one backend server accepts.
    pub slots: u32,
    /// Connections that one backend server accepts.
    pub connections: u32,
    /// Time that opening a connection takes.
    pub setup: time::Duration,
}
