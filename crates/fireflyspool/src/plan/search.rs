//! Search as requested by a caller.

use std::time;

use crate::{ids, outcome};

/// Search over all shards of a collection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Search {
    /// Identifier that the caller gave to the request.
    pub request: ids::RequestId,
    /// Collection to search.
    pub collection: ids::CollectionName,
    /// Service whose backend servers search it.
    pub service: ids::ServiceName,
    /// Text to search for.
    pub text: String,
    /// Priority class of the request.
    pub kind: outcome::Kind,
    /// Time from receipt within which the caller needs the answer.
    pub deadline: time::Duration,
    /// Least coverage that is useful to the caller.
    pub coverage: outcome::RequiredCoverage,
    /// Index version to search; `None` lets the planner choose.
    pub version: Option<ids::IndexVersion>,
    /// Maximum number of hits to return.
    pub limit: u32,
    /// Whether an explicit partial answer is preferred to a refusal when the
    /// required coverage cannot be met.
    pub partial: bool,
}
