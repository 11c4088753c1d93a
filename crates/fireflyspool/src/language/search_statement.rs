//! Statement that searches a collection.

use std::time;

use crate::{ids, outcome};

/// Search as written by the caller; an absent option is `None`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchStatement {
    /// Collection to search.
    pub collection: ids::CollectionName,
    /// Service whose backend servers run the search.
    pub service: ids::ServiceName,
    /// Text to search for.
    pub text: String,
    /// Priority class.
    pub kind: Option<outcome::Kind>,
    /// Deadline, counted from receipt.
    pub within: Option<time::Duration>,
    /// Share of the shards that must answer.
    pub coverage: Option<outcome::RequiredCoverage>,
    /// Whether a partial answer, marked as such, is preferred to a refusal.
    pub partial: bool,
    /// Index version that the search must use.
    pub version: Option<ids::IndexVersion>,
    /// Largest number of hits to return, from 1 to 1,000.
    pub limit: Option<u32>,
}
