//! Record of a backend server in the roster.

use crate::{backend, ids};

/// Backend server with its latest announcement and its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ServerRecord {
    /// Latest announcement.
    pub announcement: backend::Announcement,
    /// The only entry VM that may send requests to it; `None` between two owners.
    pub owner: Option<ids::NodeId>,
}
