//! A request body that was read.

use crate::rim;

/// Whole body of a request, which counts in the memory set aside for bodies.
pub struct RequestBody {
    bytes: bytes::Bytes,
    taken: rim::TakenBytes,
}

impl RequestBody {
    pub(super) fn new(bytes: bytes::Bytes, taken: rim::TakenBytes) -> Self {
        Self { bytes, taken }
    }

    /// Content of the body.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Content of the body, and what it counts for until that is dropped.
    pub fn into_parts(self) -> (bytes::Bytes, rim::TakenBytes) {
        (self.bytes, self.taken)
    }
}
