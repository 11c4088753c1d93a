//! State of a backend server as it travels between VMs.

use std::net;

use crate::{ids, registry};

/// Latest report about a backend server, with ages in place of times.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Backend server.
    #[serde(rename = "n")]
    pub server: ids::ServerName,
    /// Start time of this incarnation.
    #[serde(rename = "b")]
    pub born: ids::BornMillis,
    /// Sequence number of the report.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Service.
    #[serde(rename = "s")]
    pub service: ids::ServiceName,
    /// Address for requests.
    #[serde(rename = "a")]
    pub address: net::SocketAddr,
    /// Availability zone.
    #[serde(rename = "z")]
    pub zone: ids::ZoneName,
    /// Requests that it runs at once.
    #[serde(rename = "k")]
    pub slots: u32,
    /// Phase.
    #[serde(rename = "p")]
    pub phase: registry::Phase,
    /// How much longer it stays cold, in milliseconds.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub cold_ms: u64,
    /// Age of the report in milliseconds.
    #[serde(rename = "h")]
    pub age_ms: u64,
    /// Whether no report has arrived for too long.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub silent: bool,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !*value
}
