//! Announcement with unchanged content.

use crate::ids;

/// Liveness of a backend server whose announced content is the one that the leader holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Refresh {
    /// Backend server.
    pub server: ids::ServerName,
    /// Incarnation that sent the announcement.
    pub incarnation: ids::Incarnation,
    /// Sequence of its latest announcement.
    pub sequence: u64,
    /// Age of that announcement when the request was sent, in milliseconds.
    pub age_ms: u64,
}
