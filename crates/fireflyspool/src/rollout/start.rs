//! Content of the command that starts a rollout.

use std::time;

use crate::ids;

/// What an operator asks for, with the time of the command.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Start {
    /// Version to which the traffic moves.
    pub target: ids::ServerVersion,
    /// Time until the rollout must have ended.
    pub duration: time::Duration,
    /// First share of the target version, in permille of the first attempts.
    pub share: u32,
    /// Time at the sender, in milliseconds since the Unix epoch.
    pub stamped: u64,
}
