//! Death of a backend server under a request.

use crate::ids;

/// States that a backend server died while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Crash {
    /// Hash of the content of the request.
    pub fingerprint: ids::Fingerprint,
    /// Backend server that died.
    pub server: ids::ServerName,
    /// Incarnation that died; one death is counted once however often it is reported.
    pub incarnation: ids::Incarnation,
}
