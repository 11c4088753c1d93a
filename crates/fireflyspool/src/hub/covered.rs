//! What one batch tells another hub.

use std::time;

use crate::ids;

/// Changes that the receiver of a batch has once it has acknowledged it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Covered {
    /// Position in the changes of backend servers.
    pub(super) position: ids::ChangePosition,
    /// Position in the contents that crash servers.
    pub(super) contents: u64,
    /// Revision of the followers; `None` if the batch lists none.
    pub(super) followers: Option<ids::Revision>,
    /// Boot time when the batch was sent.
    pub(super) sent: time::Duration,
}
