//! What makes two reads identical.

use crate::{ids, outcome, plan};

/// Content of a read and the snapshot that it is pinned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadKey {
    snapshot: outcome::Snapshot,
    /// Version that the caller named; such a read must not follow one that may move.
    asked: Option<ids::IndexVersion>,
    service: ids::ServiceName,
    text: String,
    limit: u32,
    coverage: outcome::RequiredCoverage,
    partial: bool,
}

impl ReadKey {
    /// Key of a search that was planned.
    pub fn new(search: &plan::Search, plan: &plan::Plan) -> Self {
        Self {
            snapshot: plan.snapshot.clone(),
            asked: search.version,
            service: search.service.clone(),
            text: search.text.clone(),
            limit: search.limit,
            coverage: search.coverage,
            partial: search.partial,
        }
    }
}
