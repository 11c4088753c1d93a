//! Crash of a backend server under a request.

use crate::ids;

/// Report that a backend server crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Crash {
    /// Hash of the content of the request that ran.
    pub fingerprint: ids::Fingerprint,
    /// Backend server that crashed.
    pub server: ids::ServerName,
    /// Incarnation that crashed; however often it is reported, it is counted once.
    pub incarnation: ids::Incarnation,
}
