//! Coverage that a caller requires.

use crate::outcome;

/// Least coverage with which an answer is useful to the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequiredCoverage {
    /// Every shard of the shard map.
    #[default]
    Full,
    /// At least this share of the shard map, in percent.
    AtLeast(u8),
    /// Any number of shards; the answer names them.
    Any,
}

impl RequiredCoverage {
    /// Whether this coverage is sufficient.
    pub fn is_met_by(self, coverage: &outcome::Coverage) -> bool {
        match self {
            Self::Full => coverage.is_complete(),
            Self::AtLeast(percent) => coverage.percent() >= percent,
            Self::Any => true,
        }
    }
}
