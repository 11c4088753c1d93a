//! Availability zones taken out.

use crate::ids;

/// Zones whose backend servers get no requests, as of a revision of the catalog.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ZonesOut {
    /// Revision of the catalog; a list with a higher one replaces this one.
    pub revision: ids::Revision,
    /// Zones, ascending.
    pub zones: Vec<ids::ZoneName>,
}
