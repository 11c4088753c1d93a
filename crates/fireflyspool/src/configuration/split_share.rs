//! One part of a weighted split.

use crate::ids;

/// Service and its weight in a split.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitShare {
    /// Service.
    pub service: ids::ServiceName,
    /// Weight relative to the other parts.
    pub weight: f64,
}
