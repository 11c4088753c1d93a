//! Departure of a backend server on the wire.

use crate::{ids, platform};

/// Body of a departure; it may be empty.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub struct DepartureWire {
    /// Start time of the incarnation that ends.
    #[serde(default)]
    pub born: Option<ids::BornMillis>,
}

impl DepartureWire {
    /// Decodes a body; an empty one tells no start.
    ///
    /// # Errors
    ///
    /// Returns a [`platform::PlatformError`] if the body cannot be read.
    pub fn decode(body: &[u8]) -> Result<Self, platform::PlatformError> {
        match body.is_empty() {
            true => Ok(Self::default()),
            false => Ok(serde_json::from_slice(body)?),
        }
    }
}
