//! Latest heartbeat of a suspended backend server.

use crate::{ids, registry};

/// Age of the latest heartbeat of a backend server that an entry VM has suspended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Confirmation {
    /// Backend server.
    pub server: ids::ServerName,
    /// Start time of the incarnation that was heard.
    pub born: ids::BornMillis,
    /// Age of its last report in milliseconds.
    pub age_ms: u64,
}

impl Confirmation {
    /// Confirmation by a record.
    pub fn of(record: &registry::Record) -> Self {
        Self {
            server: record.server.clone(),
            born: record.born,
            age_ms: record.age_ms,
        }
    }
}
