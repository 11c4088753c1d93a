//! Service of a configuration.

use std::time;

/// Limits of each backend server of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that one backend server accepts from all callers together.
    pub max_connections: usize,
    /// Time for which a backend server is cold after its start.
    pub warm_up: time::Duration,
    /// Requests per second that a cold backend server can handle.
    pub cold_rate: f64,
}
