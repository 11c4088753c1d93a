//! Heartbeat without news.

use crate::{ids, registry};

/// Report that changes nothing, reduced to what liveness needs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Refresh {
    /// Backend server.
    #[serde(rename = "n")]
    pub server: ids::ServerName,
    /// Start time of this incarnation.
    #[serde(rename = "b")]
    pub born: ids::BornMillis,
    /// Sequence number of the report.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Age of the report in milliseconds.
    #[serde(rename = "h")]
    pub age_ms: u64,
    /// How much longer the server stays cold, in milliseconds.
    #[serde(rename = "c", default)]
    pub cold_ms: u64,
}

impl Refresh {
    /// Refresh of a record.
    pub fn of(record: &registry::Record) -> Self {
        Self {
            server: record.server.clone(),
            born: record.born,
            sequence: record.sequence,
            age_ms: record.age_ms,
            cold_ms: record.cold_ms,
        }
    }
}
