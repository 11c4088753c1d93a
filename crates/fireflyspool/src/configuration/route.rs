//! One route.

use std::time;

use crate::configuration;

/// Requests of one host under one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: time::Duration,
    /// Latency objective.
    pub objective: time::Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Most backend servers that may run one request, for each shard.
    pub attempts: usize,
    /// Where requests go.
    pub target: configuration::Target,
}
