//! Departure of a backend server.

use crate::{ids, registry};

/// Statement that one incarnation of a backend server leaves or has left.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Departure {
    /// Name of the backend server.
    #[serde(rename = "n")]
    pub server: ids::ServerName,
    /// Start time of the incarnation.
    #[serde(rename = "b")]
    pub born: ids::BornMillis,
    /// Phase that the incarnation has reached.
    #[serde(rename = "p")]
    pub phase: registry::Phase,
}
