//! A service that reads collections.

use std::time;

/// Limits of the backend servers of one service.
///
/// The lower of these and what a backend server announces applies.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Concurrent requests that one backend server bears.
    pub slots: u32,
    /// Connections that one backend server accepts.
    pub connections: u32,
    /// Time that a new connection takes.
    pub setup: time::Duration,
}
