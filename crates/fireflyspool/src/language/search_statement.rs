//! Search of a collection.

use std::time;

use crate::{ids, outcome};

/// Search as the caller wrote it; absent options are `None`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchStatement {
    /// Collection to search.
    pub collection: ids::CollectionName,
    /// Service to search it through.
    pub service: ids::ServiceName,
    /// Text to search for.
    pub text: String,
    /// Priority class.
    pub kind: Option<outcome::Kind>,
    /// Deadline, counted from receipt.
    pub within: Option<time::Duration>,
    /// Required coverage.
    pub coverage: Option<outcome::RequiredCoverage>,
    /// Whether an explicit partial answer is preferred to a refusal.
    pub partial: bool,
    /// Index version to pin.
    pub version: Option<ids::IndexVersion>,
    /// Most hits to return.
    pub limit: Option<u32>,
}
