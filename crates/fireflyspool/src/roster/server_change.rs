//! Change of a backend server record.

use crate::{ids, view};

/// New state of one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ServerChange {
    /// Sequence of this change.
    pub sequence: u64,
    /// Backend server that changed.
    pub server: ids::ServerName,
    /// The record; `None` if the backend server was dropped.
    pub record: Option<view::ServerRecord>,
}
