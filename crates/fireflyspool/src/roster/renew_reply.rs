//! Reply to a lease renewal.

use crate::{ids, roster};

/// Reply of a control VM to a [`roster::RenewRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
#[expect(
    clippy::large_enum_variant,
    reason = "nearly every reply is a grant, so a box would only add an allocation"
)]
pub enum RenewReply {
    /// The leader handled the renewal; the grant may still refuse the lease.
    Granted(roster::Grant),
    /// This control VM is not the leader, or may not grant leases at present.
    NotLeader {
        /// Leader as known to this control VM.
        leader: Option<ids::NodeId>,
    },
}
