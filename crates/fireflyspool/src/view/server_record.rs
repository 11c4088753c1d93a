//! A backend server as the roster knows it.

use crate::{backend, ids};

/// Announced backend server with its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ServerRecord {
    /// Latest announcement.
    pub announcement: backend::Announcement,
    /// Entry VM that alone may send work to it; `None` between two owners.
    pub owner: Option<ids::NodeId>,
}
