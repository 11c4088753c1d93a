//! Change of one member.

use crate::{ids, view};

/// New content of a member record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MemberChange {
    /// Number of this change.
    pub sequence: u64,
    /// Number of the VM.
    pub node: ids::NodeId,
    /// The record; `None` if the member is gone.
    pub record: Option<view::Member>,
}
