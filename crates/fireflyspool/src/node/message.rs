//! Content of a request that is forwarded.

use crate::{hashing, ids};

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

impl Message {
    /// Hash of what a request has in common with all its repeats: method, host, target and body,
    /// but not its id.
    pub fn fingerprint(&self) -> ids::Fingerprint {
        let host = self.headers.get(http::header::HOST);
        let host = host.map_or(&[][..], |host| host.as_bytes());
        let target = self.target.path_and_query();
        let hash = hashing::StableHasher::new()
            .text(self.method.as_str())
            .bytes(host)
            .text(target.map_or("", |target| target.as_str()))
            .bytes(&self.body)
            .finish();
        // 53 bits, which a JSON number holds exactly in any parser.
        hash >> 11
    }
}
