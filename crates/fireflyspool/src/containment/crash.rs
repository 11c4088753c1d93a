//! Crash of a backend server during an attempt.

use crate::ids;

/// End of one incarnation of a backend server while it may have run a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Crash {
    /// Name of the backend server.
    #[serde(rename = "n")]
    pub server: ids::ServerName,
    /// Start time of the incarnation that ended.
    #[serde(rename = "b")]
    pub born: ids::BornMillis,
    /// Whether the attempt was a probe, sent when other crashes were known already.
    #[serde(rename = "p", default, skip_serializing_if = "std::ops::Not::not")]
    pub probe: bool,
    /// Whether the attempt had been given up before: the server may have ended after it.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub unseen: bool,
}
