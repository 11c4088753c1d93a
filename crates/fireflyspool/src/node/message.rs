//! Content of a request that is forwarded.

use crate::ids;

/// Parts of a request that backend servers get unchanged.
#[derive(Clone, Debug)]
pub struct Message {
    /// Identifier that the caller gave its request.
    pub id: ids::RequestId,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query as the caller sent them, byte for byte.
    pub target: http::Uri,
    /// End-to-end headers, without those of one connection.
    pub headers: http::HeaderMap,
    /// Complete body.
    pub body: bytes::Bytes,
}
