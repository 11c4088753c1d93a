//! Availability zones taken out.

use crate::ids;

/// Zones that get no requests, as of a revision of the catalog.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ZonesOut {
    /// Revision; a higher one replaces a lower one.
    pub revision: ids::Revision,
    /// Zones, ascending.
    pub zones: Vec<ids::ZoneName>,
}
