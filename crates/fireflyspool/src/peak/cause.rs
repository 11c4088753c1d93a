//! Causes of sub-requests.

/// Why a sub-request was sent; the peak meter counts by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// First attempt for a shard or submission.
    First,
    /// Second attempt while the first one is slow.
    Hedge,
    /// Attempt after a failure or a refusal.
    Retry,
    /// Warm-up of a backend server.
    WarmUp,
}

impl Cause {
    /// All causes, in the order of [`Cause::index`].
    pub const ALL: [Self; 4] = [Self::First, Self::Hedge, Self::Retry, Self::WarmUp];

    /// Position in [`Cause::ALL`].
    pub fn index(self) -> usize {
        match self {
            Self::First => 0,
            Self::Hedge => 1,
            Self::Retry => 2,
            Self::WarmUp => 3,
        }
    }

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
            Self::WarmUp => "warm_up",
        }
    }
}
