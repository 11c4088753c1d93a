//! Counts of one route at one version.

use crate::{ids, rollout};

/// Responses to the first attempts of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Cell {
    /// Name of the route.
    #[serde(rename = "r")]
    pub route: String,
    /// Backend server of the target version; `None` for all of the old one together.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub server: Option<ids::ServerName>,
    /// The counts.
    #[serde(rename = "c")]
    pub counts: rollout::Counts,
}
