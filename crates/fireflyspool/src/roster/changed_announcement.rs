//! Announcement with a change.

use crate::backend;

/// Announcement that differs from what the roster holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ChangedAnnouncement {
    /// The announcement.
    pub announcement: backend::Announcement,
    /// Its age when the renewal was sent, in milliseconds.
    pub age_ms: u64,
}
