//! Identity of a lease.

use crate::{ids, view};

/// One process of one VM.
///
/// A restarted process is another holder: the lease of the earlier one stays
/// outstanding until it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HolderKey {
    pub(super) node: ids::NodeId,
    pub(super) incarnation: ids::Incarnation,
}

impl HolderKey {
    pub(super) fn of(member: &view::Member) -> Self {
        Self {
            node: member.node,
            incarnation: member.incarnation,
        }
    }
}
