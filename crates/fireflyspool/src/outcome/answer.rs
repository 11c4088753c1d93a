//! Merged answer of a search.

use std::time;

use crate::{ids, outcome};

/// Hits of one snapshot and the coverage that they come from.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// Identifier that the caller gave to the request.
    pub request: ids::RequestId,
    /// Snapshot that every hit comes from.
    pub snapshot: outcome::Snapshot,
    /// Which shards answered.
    pub coverage: outcome::Coverage,
    /// Whether the coverage is at least what the caller required.
    pub sufficient: bool,
    /// Deadline that applied, counted from the receipt of the request.
    pub deadline: time::Duration,
    /// Time from the receipt of the request to this answer.
    pub elapsed: time::Duration,
    /// Best hits of all covered shards, best first.
    pub hits: Vec<outcome::Hit>,
}
