//! Service of a weighted split.

use crate::ids;

/// Service and its weight in a split.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitShare {
    /// Name of the service.
    pub service: ids::ServiceName,
    /// Weight relative to the other services of the split; zero takes no requests.
    pub weight: f64,
}
