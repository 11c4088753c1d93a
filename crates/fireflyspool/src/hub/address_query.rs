//! Query of a caller for entry VM addresses.

use crate::ids;

/// Location of a caller, which decides the addresses it gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressQuery {
    /// Availability zone of the caller.
    pub zone: ids::ZoneName,
    /// Region of the caller.
    pub region: String,
}
