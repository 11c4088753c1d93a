//! Reasons against a candidate.

/// Why a candidate owner was not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PassCause {
    /// It was tried before for this shard.
    Tried,
    /// It is no longer a live entry VM.
    Gone,
    /// It failed or refused recently.
    Avoided,
    /// Its load per permit is not lower than that of the chosen one.
    Load,
}
