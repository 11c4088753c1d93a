//! Heartbeat that changes nothing.

use crate::{ids, registry};

/// Report without a change, reduced to the fields that show liveness.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Refresh {
    /// Name of the backend server.
    #[serde(rename = "n")]
    pub server: ids::ServerName,
    /// Start time of the incarnation.
    #[serde(rename = "b")]
    pub born: ids::BornMillis,
    /// Sequence number of the report.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Age of the report, in milliseconds.
    #[serde(rename = "h")]
    pub age_ms: u64,
}

impl Refresh {
    /// Refresh from the latest report of a record.
    pub fn of(record: &registry::Record) -> Self {
        Self {
            server: record.server.clone(),
            born: record.born,
            sequence: record.sequence,
            age_ms: record.age_ms,
        }
    }
}
