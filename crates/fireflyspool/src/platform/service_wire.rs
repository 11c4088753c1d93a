//! Wire format of a service.

use crate::ids;

/// Service of a configuration.
#[derive(Debug)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct ServiceWire {
    pub(super) name: ids::ServiceName,
    #[serde(rename = "MaxConnections", default)]
    pub(super) connections: Option<f64>,
    /// Seconds for which a server is cold after its start.
    #[serde(rename = "WarmupS", default)]
    pub(super) warm_up: f64,
    /// Requests per second that a cold server can take.
    #[serde(rename = "WarmupPerS", default)]
    pub(super) cold_rate: f64,
}
