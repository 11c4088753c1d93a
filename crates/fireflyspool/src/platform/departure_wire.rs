//! Wire format of the departure of a backend server.

use crate::{ids, platform};

/// Body of a departure; it may be empty.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub struct DepartureWire {
    /// Start time of the incarnation that ends, if the server gives it.
    #[serde(default)]
    pub born: Option<ids::BornMillis>,
}

impl DepartureWire {
    /// Decodes a body; an empty one gives no start time.
    ///
    /// # Errors
    ///
    /// Returns a [`platform::PlatformError`] if the body is not valid JSON of this form.
    pub fn decode(body: &[u8]) -> Result<Self, platform::PlatformError> {
        match body.is_empty() {
            true => Ok(Self::default()),
            false => Ok(serde_json::from_slice(body)?),
        }
    }
}
