//! Latest heartbeat of a suspended backend server.

use crate::{ids, registry};

/// Age of the latest heartbeat of a backend server that an entry VM has suspended; a
/// recent one lets the entry VM use the server again.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Confirmation {
    /// Backend server.
    pub server: ids::ServerName,
    /// Start time of the incarnation that sent the heartbeat.
    pub born: ids::BornMillis,
    /// Age of the heartbeat in milliseconds.
    pub age_ms: u64,
}

impl Confirmation {
    /// Takes the heartbeat from a record of the registry.
    pub fn of(record: &registry::Record) -> Self {
        Self {
            server: record.server.clone(),
            born: record.born,
            age_ms: record.age_ms,
        }
    }
}
