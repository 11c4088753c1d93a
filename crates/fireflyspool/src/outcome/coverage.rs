//! Coverage of an answer.

use crate::ids;

/// Shards that answered and shards that did not, out of the shard map of the index version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Coverage {
    /// Shards whose answers are merged, ascending.
    pub covered: Vec<ids::ShardNumber>,
    /// Shards that did not answer, ascending.
    pub missing: Vec<ids::ShardNumber>,
}

impl Coverage {
    /// Whether no shard is missing.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// Number of shards in the shard map.
    pub fn total(&self) -> usize {
        self.covered.len() + self.missing.len()
    }

    /// Covered share in percent, rounded down; 100 only if nothing is missing.
    pub fn percent(&self) -> u8 {
        if self.missing.is_empty() {
            return 100;
        }
        let share = self.covered.len() * 100 / self.total();
        u8::try_from(share).unwrap_or(99).min(99)
    }
}
