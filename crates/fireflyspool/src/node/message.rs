//! A request as it is passed on.

use crate::ids;

/// Parts of a request that backend servers get unchanged.
#[derive(Clone, Debug)]
pub struct Message {
    /// Identifier that the caller gave.
    pub id: ids::RequestId,
    /// Method.
    pub method: http::Method,
    /// Path and query, byte for byte.
    pub target: http::Uri,
    /// Headers that concern the message, not the connection.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
}
