//! One hit of a search.

use crate::ids;

/// Document found, with its score.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Hit {
    /// Document identifier.
    pub id: String,
    /// Score; higher is better.
    pub score: f64,
    /// Shard that holds the document.
    #[serde(default)]
    pub shard: ids::ShardNumber,
}
