//! Sort of request in the mix.

use std::time;

use fireflyspool::{ids, outcome};

use crate::duration_text;

/// Requests that differ only in their text.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name in reports.
    pub name: String,
    /// Share among all templates.
    pub weight: f64,
    /// Service.
    pub service: ids::ServiceName,
    /// Collection to search; a template without one submits.
    #[serde(default)]
    pub collection: Option<ids::CollectionName>,
    /// Kind.
    #[serde(default)]
    pub kind: outcome::Kind,
    /// Deadline, counted from the intended start.
    #[serde(with = "duration_text")]
    pub deadline: time::Duration,
    /// Required coverage.
    #[serde(default)]
    pub coverage: outcome::RequiredCoverage,
    /// Index version, if the caller insists on one.
    #[serde(default)]
    pub version: Option<ids::IndexVersion>,
    /// Most hits.
    #[serde(default = "ten")]
    pub limit: usize,
    /// Number of different texts; few texts make identical requests likely.
    #[serde(default = "thousand")]
    pub texts: u64,
    /// Text put in front, for example a crash marker.
    #[serde(default)]
    pub prefix: String,
}

fn ten() -> usize {
    10
}

fn thousand() -> u64 {
    1_000
}
