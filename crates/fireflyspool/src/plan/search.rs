//! A search as a caller asks for it.

use std::time;

use crate::{ids, outcome};

/// Search of a whole collection.
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
    /// Priority class.
    pub kind: outcome::Kind,
    /// Time from receipt within which the caller needs the answer.
    pub deadline: time::Duration,
    /// Least coverage that is of use to the caller.
    pub coverage: outcome::RequiredCoverage,
    /// Index version to search; `None` leaves the choice to the tier.
    pub version: Option<ids::IndexVersion>,
    /// Most hits to return.
    pub limit: u32,
    /// Whether an explicit partial answer is preferred to a refusal when the
    /// required coverage cannot be met.
    pub partial: bool,
}
