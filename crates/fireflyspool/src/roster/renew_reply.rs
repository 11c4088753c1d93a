//! Reply to a renewal.

use crate::{ids, roster};

/// What a control VM answers to a [`roster::RenewRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
#[expect(
    clippy::large_enum_variant,
    reason = "nearly every reply is a grant, so a box would only add an allocation"
)]
pub enum RenewReply {
    /// The leader renewed the lease.
    Granted(roster::Grant),
    /// This control VM is not the leader, or must not grant leases now.
    NotLeader {
        /// Leader it knows of.
        leader: Option<ids::NodeId>,
    },
}
