//! Announcement with changed content.

use crate::backend;

/// Announcement whose content differs from what the leader is known to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ChangedAnnouncement {
    /// Announcement as received from the backend server.
    pub announcement: backend::Announcement,
    /// Age of the announcement when the request was sent, in milliseconds.
    pub age_ms: u64,
}
