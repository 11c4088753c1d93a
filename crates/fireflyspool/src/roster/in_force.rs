//! Whether a revision is in force.

use std::time;

use crate::ids;

/// Answer to whether every holder of a valid lease has confirmed a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InForce {
    /// Every valid lease belongs to a holder that has confirmed it.
    Yes,
    /// Some valid lease may belong to a holder with an older revision.
    Waiting {
        /// When those leases end if they are not renewed.
        until: time::Instant,
        /// Known members with an older revision; empty while only unknown leases are waited for.
        members: Vec<ids::NodeId>,
    },
}
