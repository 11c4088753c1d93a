//! Second phase of a shutdown.

use std::time;

/// Refuses new requests and finishes running ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusing {
    /// Time at which requests that still run are aborted; logged under this name.
    pub(super) limit: time::Instant,
}
