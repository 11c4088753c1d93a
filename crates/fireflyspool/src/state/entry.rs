//! Payload of the replicated log.

use crate::state;

/// One entry of the replicated log as the control state applies it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// Command of an operator.
    Command {
        /// The command.
        command: state::Command,
        /// Time at the leader, in milliseconds since the Unix epoch.
        stamped: u64,
    },
    /// Claims of non-idempotent requests that are about to be sent.
    Claims(Vec<state::Claim>),
    /// Outcomes of claimed requests.
    ClaimOutcomes(Vec<state::ClaimOutcome>),
}
