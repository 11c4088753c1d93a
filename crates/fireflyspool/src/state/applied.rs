//! Result of applying an entry.

use crate::state;

/// What the proposer of an entry is told once it is applied.
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
    /// Outcome of the order.
    #[serde(rename = "order")]
    Idempotent(state::IdempotentOutcome),
}
