//! Question of a caller for addresses.

use crate::ids;

/// Where a caller is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressQuery {
    /// Availability zone of the caller.
    pub zone: ids::ZoneName,
    /// Region of the caller.
    pub region: String,
}
