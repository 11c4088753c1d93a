//! Second phase of a shutdown.

use std::time;

/// Refuses new requests and finishes running ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusing {
    /// When running requests are cut short.
    pub(super) limit: time::Instant,
}
