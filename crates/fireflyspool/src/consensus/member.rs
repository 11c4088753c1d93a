//! Member of the group.

use crate::{consensus, ids};

/// Member with the incarnation of its data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Number of the VM.
    pub node: ids::NodeId,
    /// Incarnation of its data folder.
    pub incarnation: ids::Incarnation,
    /// Whether it votes.
    pub kind: consensus::MemberKind,
}
