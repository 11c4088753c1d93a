//! Records for a follower.

use crate::{ids, registry};

/// Changes since a position.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ChangeSet {
    /// Position that the follower has reached with these records.
    pub position: ids::ChangePosition,
    /// Latest state of each changed backend server.
    pub records: Vec<registry::Record>,
}
