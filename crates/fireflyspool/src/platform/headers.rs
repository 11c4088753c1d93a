//! HTTP headers of the platform, and the rule which headers are forwarded.

use crate::{access, configuration};

/// Identifier that the caller gave its attempt.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// Milliseconds for which the sender waits for the response.
pub(super) const DEADLINE: &str = "x-deadline-ms";

/// Name of the only backend server that may run the request.
pub(super) const EXPECTED_SERVER: &str = "x-expect-instance";

/// Signature with which a backend server marks its response.
pub(super) const SIGNATURE: &str = "x-server-stamp";

/// Present if a backend server did not run the request.
pub(super) const NOT_EXECUTED: &str = "x-not-executed";

/// Name of the client account that a request runs for.
const ACCOUNT: http::HeaderName = http::HeaderName::from_static("x-tenant-id");

/// Running and queued requests of a backend server, and its capacity.
pub(super) const LOAD: http::HeaderName = http::HeaderName::from_static("x-server-load");

/// Present with the value 1 if a backend server is about to shut down.
pub(super) const LEAVING: http::HeaderName = http::HeaderName::from_static("server-leaving");

/// Signatures of the responses merged into an answer.
pub(super) const PART_SIGNATURES: &str = "x-part-stamps";

/// Number of shards missing from an answer.
pub(super) const MISSING_PARTS: &str = "x-missing-parts";

/// Headers of one connection, or set by the HTTP library itself; sorted for binary search.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Copies the headers that are forwarded: all but those of one connection.
pub(super) fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = http::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = CONNECTION_HEADERS.binary_search(&name.as_str()).is_ok()
            || named.iter().any(|listed| listed == name.as_str());
        if !is_hop_by_hop {
            let mut value = value.clone();
            // Debug output leaves the key out.
            value.set_sensitive(name == http::header::AUTHORIZATION);
            forwarded.append(name, value);
        }
    }
    forwarded
}

/// Values of the headers that carry the key of a client account.
pub(super) fn credentials(headers: &http::HeaderMap) -> access::Credentials {
    let values = headers.get_all(http::header::AUTHORIZATION).iter();
    let copy = |value: &http::HeaderValue| bytes::Bytes::copy_from_slice(value.as_bytes());
    access::Credentials::new(values.map(copy).collect())
}

/// Removes the key, and replaces what the caller stated as its account.
pub(super) fn identify(headers: &mut http::HeaderMap, account: Option<&configuration::Account>) {
    headers.remove(http::header::AUTHORIZATION);
    headers.remove(ACCOUNT);
    // Names that cannot stand in a header are rejected with the configuration.
    let name = account.and_then(|account| http::HeaderValue::from_str(&account.name).ok());
    if let Some(name) = name {
        headers.insert(ACCOUNT, name);
    }
}

/// Copies the headers of a response that are forwarded to its caller.
///
/// What a backend server states to its client, this VM, says nothing about the tier.
pub(super) fn forwarded_response(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut forwarded = end_to_end(headers);
    forwarded.remove(LEAVING);
    forwarded.remove(http::header::RETRY_AFTER);
    forwarded
}
