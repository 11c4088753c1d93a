//! Change of a member record.

use crate::{ids, view};

/// New state of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MemberChange {
    /// Sequence of this change.
    pub sequence: u64,
    /// VM of the member.
    pub node: ids::NodeId,
    /// The record; `None` if the member was removed.
    pub record: Option<view::Member>,
}
