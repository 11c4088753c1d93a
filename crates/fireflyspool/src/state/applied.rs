//! Result of applying an entry.

use crate::state;

/// Result of an applied entry, for its proposer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Applied {
    /// Receipt of the command.
    Command(state::Receipt),
    /// One reply for each claim, in the order of the entry.
    Claims(Vec<state::ClaimReply>),
    /// The outcomes are recorded.
    ClaimOutcomes,
    /// Outcome of the idempotent command.
    #[serde(rename = "order")]
    Idempotent(state::IdempotentOutcome),
}
