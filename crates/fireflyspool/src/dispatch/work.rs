//! What a sub-request asks for.

use crate::{ids, outcome};

/// Content of a sub-request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "work", rename_all = "snake_case")]
pub enum Work {
    /// Search of one shard; idempotent.
    Search {
        /// Snapshot to search.
        snapshot: outcome::Snapshot,
        /// Shard to search.
        shard: ids::ShardNumber,
        /// Text to search for.
        text: String,
        /// Most hits to return.
        limit: u32,
    },
    /// Submission that must run at most once.
    Submit {
        /// Content.
        payload: String,
    },
}
