//! One service.

use std::time;

/// Limits of the backend servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that one backend server accepts from all callers together.
    pub connections: usize,
    /// Time for which a backend server is cold after its start.
    pub warm_up: time::Duration,
    /// Requests per second that a cold backend server bears.
    pub cold_rate: f64,
}
