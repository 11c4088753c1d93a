//! Change of one backend server.

use crate::{ids, view};

/// New content of a backend server record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ServerChange {
    /// Number of this change.
    pub sequence: u64,
    /// Name of the backend server.
    pub server: ids::ServerName,
    /// The record; `None` if the backend server is gone.
    pub record: Option<view::ServerRecord>,
}
