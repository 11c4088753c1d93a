//! State of one shard of a query.

use crate::outcome;

/// State of one shard of a running query.
#[derive(Clone, Debug)]
pub(super) enum ShardState {
    /// An attempt is under way or will be made.
    Open,
    /// An attempt was answered with these hits.
    Covered(Vec<outcome::Hit>),
    /// No further attempt will be made.
    Missing,
}
