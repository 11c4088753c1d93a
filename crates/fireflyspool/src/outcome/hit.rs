//! Hit of a search.

use crate::ids;

/// Document that matches a search.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Hit {
    /// Identifier that the backend server gave to the document.
    pub id: String,
    /// Relevance; higher is better.
    pub score: f64,
    /// Shard that holds the document; set by the coordinator.
    #[serde(default)]
    pub shard: ids::ShardNumber,
}
