//! Announcement without a change.

use crate::ids;

/// Shows that a backend server still announces what the roster holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Refresh {
    /// Name of the backend server.
    pub server: ids::ServerName,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// Sequence of its latest announcement.
    pub sequence: u64,
    /// Age of that announcement when the renewal was sent, in milliseconds.
    pub age_ms: u64,
}
