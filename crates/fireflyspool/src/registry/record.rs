//! State of a backend server in messages between VMs.

use std::net;

use crate::{ids, registry};

/// Latest known state of a backend server, with ages instead of times.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Name of the backend server.
    #[serde(rename = "n")]
    pub server: ids::ServerName,
    /// Start time of the incarnation.
    #[serde(rename = "b")]
    pub born: ids::BornMillis,
    /// Sequence number of the latest report.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Service that it belongs to.
    #[serde(rename = "s")]
    pub service: ids::ServiceName,
    /// Address that accepts requests.
    #[serde(rename = "a")]
    pub address: net::SocketAddr,
    /// Zone that it runs in.
    #[serde(rename = "z")]
    pub zone: ids::ZoneName,
    /// Version of its program; empty if it reports none, or an earlier release sent the record.
    #[serde(rename = "v", default, skip_serializing_if = "String::is_empty")]
    pub version: ids::ServerVersion,
    /// Maximum number of requests that it runs concurrently.
    #[serde(rename = "k")]
    pub slots: u32,
    /// Phase of the incarnation.
    #[serde(rename = "p")]
    pub phase: registry::Phase,
    /// Remaining time of its cold phase, in milliseconds; 0 if it is warm.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub cold_ms: u64,
    /// Age of the latest report, in milliseconds.
    #[serde(rename = "h")]
    pub age_ms: u64,
    /// Whether its latest report is older than the timeout.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub silent: bool,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !*value
}
