//! Answer of a backend server.

/// Complete answer that belongs to its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that concern the message, not the connection.
    pub headers: http::HeaderMap,
    /// Signature that proves which server answered which request.
    pub signature: Option<String>,
    /// Body.
    pub body: bytes::Bytes,
}

impl Answer {
    /// Whether the server succeeded and signed the answer.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.signature.is_some()
    }
}
