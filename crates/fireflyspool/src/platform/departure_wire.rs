//! Departure of a backend server on the wire.

use crate::ids;

/// Body of a departure; it may be empty.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub struct DepartureWire {
    /// Start of the life that ends.
    #[serde(default)]
    pub born: Option<ids::BornMillis>,
}

impl DepartureWire {
    /// Decodes a body; one that cannot be read tells no start.
    pub fn decode(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_default()
    }
}
