//! Whether a catalog revision is in force.

use std::time;

use crate::ids;

/// Whether every holder of a valid lease has confirmed a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InForce {
    /// Every holder of a valid lease has confirmed it.
    Yes,
    /// Some holder of a valid lease may still have an older revision.
    Waiting {
        /// When the last of those leases expires if it is not renewed.
        until: time::Instant,
        /// Members with an older revision; empty if only leases of an earlier term, unknown to
        /// this leader, may be outstanding.
        members: Vec<ids::NodeId>,
    },
}
