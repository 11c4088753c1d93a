//! Target of a query over several shards.

use crate::ids;

/// Scatter-gather target: services that each hold one shard, and the rules for the answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// One service for each shard.
    pub shards: Vec<ids::ServiceName>,
    /// Most records in an answer; the greatest ones are kept.
    pub top_k: usize,
    /// Least share of the shards that a sufficient answer covers, 0 to 1.
    pub coverage: f64,
}

impl Gather {
    /// Least number of shards that a sufficient answer covers; at least one.
    pub fn required(&self) -> usize {
        // Absorbs the floating-point error of a product such as 0.9 * 10.
        const TOLERANCE: f64 = 1e-9;
        let shards = self.shards.len() as f64;
        ((self.coverage * shards - TOLERANCE).ceil().max(1.0) as usize).min(self.shards.len())
    }
}
