//! Identity of a read.

use crate::{ids, outcome, plan};

/// Content of a read and its pinned snapshot; reads with equal keys are identical.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadKey {
    snapshot: outcome::Snapshot,
    /// Version that the caller asked for. A read without one may change to another
    /// version, so a read with one must not follow it.
    asked: Option<ids::IndexVersion>,
    service: ids::ServiceName,
    text: String,
    limit: u32,
    coverage: outcome::RequiredCoverage,
    partial: bool,
}

impl ReadKey {
    /// Key of a planned search.
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
