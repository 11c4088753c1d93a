//! Causes for which a candidate is not chosen.

/// Why a candidate owner was not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PassCause {
    /// It was already tried for this shard.
    Tried,
    /// It is no longer a live member.
    Gone,
    /// It recently failed or refused.
    Avoided,
    /// Its load per permit is not lower than that of the chosen one.
    Load,
}
