//! Sign of life for a suspended backend server.

use crate::{ids, registry};

/// Latest sign of life of a backend server that an entry VM does not trust.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Confirmation {
    /// Backend server.
    pub server: ids::ServerName,
    /// Start of the life that was heard.
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
