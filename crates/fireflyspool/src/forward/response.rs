//! Response of a backend server.

/// Complete response that belongs to its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers; hop-by-hop headers are removed.
    pub headers: http::HeaderMap,
    /// Signature that proves which server answered which request.
    pub signature: Option<String>,
    /// Complete body.
    pub body: bytes::Bytes,
}

impl Response {
    /// Whether the status is 2xx and the response is signed.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.signature.is_some()
    }
}
