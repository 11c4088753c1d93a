//! Single-step membership changes.

use crate::ids;

/// Change of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipChange {
    /// Adds a member that receives the log but does not vote.
    AddLearner {
        /// Number of the VM.
        node: ids::NodeId,
        /// Incarnation of its data folder.
        incarnation: ids::Incarnation,
    },
    /// Gives a learner that has caught up a vote.
    Promote {
        /// Number of the VM.
        node: ids::NodeId,
    },
    /// Removes a member.
    Remove {
        /// Number of the VM.
        node: ids::NodeId,
    },
}
