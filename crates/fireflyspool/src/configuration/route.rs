//! Route of caller requests.

use std::time;

use crate::configuration;

/// How requests for one host and path prefix are forwarded.
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
    /// Longest time until a caller gets an answer; above zero.
    pub timeout: time::Duration,
    /// Latency objective; later answers count as late.
    pub objective: time::Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Most attempts, each at another backend server, that may run for one request and
    /// shard; at least one. Attempts that certainly did not run are not counted.
    pub max_attempts: usize,
    /// Whether requests need no key although the configuration has client accounts.
    pub open: bool,
    /// Services that handle the requests.
    pub target: configuration::Target,
}
