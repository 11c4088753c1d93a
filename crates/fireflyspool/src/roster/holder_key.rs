//! Identity of a lease holder.

use crate::{ids, view};

/// One process of one VM.
///
/// After a restart the VM is a new holder; the lease of its earlier process remains
/// outstanding until it expires.
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
