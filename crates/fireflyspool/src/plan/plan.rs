//! Plan of one query.

use std::sync;

use crate::{outcome, plan};

/// Pinned snapshot of one query with the owners that can serve its shards.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Snapshot that every sub-request of the query names.
    pub snapshot: outcome::Snapshot,
    /// Candidate owners of every shard.
    pub routes: sync::Arc<plan::Routes>,
}
