//! Target of a query over many shards.

use crate::ids;

/// Services that each hold one shard, and what an answer needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// One service a shard.
    pub shards: Vec<ids::ServiceName>,
    /// Number of records in an answer.
    pub top: usize,
    /// Least share of the shards in an answer, 0 to 1.
    pub coverage: f64,
}

impl Gather {
    /// Least number of shards that make an answer; at least one.
    pub fn required(&self) -> usize {
        // Tolerates the rounding of a share such as 0.9 of 10 shards.
        const ROUNDING: f64 = 1e-9;
        let shards = self.shards.len() as f64;
        ((self.coverage * shards - ROUNDING).ceil().max(1.0) as usize).min(self.shards.len())
    }
}
