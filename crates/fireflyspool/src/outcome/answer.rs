//! Merged answer of a search.

use std::time;

use crate::{ids, outcome};

/// Hits of one snapshot, with the shards they come from.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// Request that this answers.
    pub request: ids::RequestId,
    /// Snapshot that every hit comes from.
    pub snapshot: outcome::Snapshot,
    /// Shards that answered and shards that did not.
    pub coverage: outcome::Coverage,
    /// Whether the coverage is at least what the caller required.
    pub sufficient: bool,
    /// Deadline that applied, counted from receipt.
    pub deadline: time::Duration,
    /// Time from receipt to this answer.
    pub elapsed: time::Duration,
    /// Best hits of all covered shards, best first.
    pub hits: Vec<outcome::Hit>,
}
