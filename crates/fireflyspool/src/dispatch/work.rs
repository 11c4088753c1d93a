//! Work of a sub-request.

use crate::{ids, outcome};

/// Search or submission that a sub-request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "work", rename_all = "snake_case")]
pub enum Work {
    /// Search of one shard; idempotent, so it may be sent again.
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
        /// Text for the backend server.
        payload: String,
    },
}
