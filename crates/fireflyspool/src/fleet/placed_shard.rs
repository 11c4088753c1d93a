//! Shard of a query with the zones that serve it best.

use crate::ids;

/// Shard of a query, with the zones from which its service is reached best.
pub(super) struct PlacedShard<'a> {
    /// Index in the query.
    pub(super) index: usize,
    /// Empty if it is reached best from this VM's zone.
    pub(super) zones: Vec<&'a ids::ZoneName>,
}
