//! Names of headers, and which of them are passed on.

/// Identifier that the caller gave to its attempt.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// Milliseconds for which the sender waits.
pub(super) const DEADLINE: &str = "x-deadline-ms";

/// Backend server that alone may run the request.
pub(super) const EXPECTED_SERVER: &str = "x-expect-instance";

/// Signature of a backend server.
pub(super) const SIGNATURE: &str = "x-server-stamp";

/// Present if a backend server did not run the request.
pub(super) const NOT_EXECUTED: &str = "x-not-executed";

/// Running, waiting and possible requests of a backend server.
pub(super) const LOAD: &str = "x-server-load";

/// Signatures of the parts of an answer.
pub(super) const PART_SIGNATURES: &str = "x-part-stamps";

/// Number of shards without a part in an answer.
pub(super) const MISSING_PARTS: &str = "x-missing-parts";

/// Headers that concern one connection, or that the HTTP library sets itself.
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

/// Headers that are passed on.
pub(super) fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = http::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let concerns_connection = CONNECTION_HEADERS.binary_search(&name.as_str()).is_ok()
            || named.iter().any(|listed| listed == name.as_str());
        if !concerns_connection {
            kept.append(name, value.clone());
        }
    }
    kept
}
