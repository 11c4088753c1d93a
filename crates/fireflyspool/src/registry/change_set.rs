//! Changes for a follower.

use crate::{ids, registry};

/// Changes since the position of a follower.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ChangeSet {
    /// Position that the follower reaches with these records.
    pub position: ids::ChangePosition,
    /// Latest state of each changed backend server.
    pub records: Vec<registry::Record>,
}
