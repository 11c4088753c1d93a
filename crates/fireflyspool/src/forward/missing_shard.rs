//! Shard without a response in the answer to a group.

use crate::ids;

/// Shard that is missing from a [`crate::forward::GroupAnswer`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MissingShard {
    /// Position in the group.
    pub position: usize,
    /// Backend servers that got an attempt.
    pub tried: Vec<ids::ServerName>,
    /// Whether an attempt is under way, so that a later answer may have the shard; if not, no
    /// further one is sent.
    pub running: bool,
    /// Whether an attempt may have run.
    pub ran: bool,
    /// Whether a server crashed during an attempt, or may crash under the content.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub crashed: bool,
}
