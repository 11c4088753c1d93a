//! State of one shard.

use crate::outcome;

/// State of one shard of a running query.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// An attempt is under way or will be made.
    Open,
    /// It answered.
    Covered(Vec<outcome::Hit>),
    /// It will not answer in this query.
    Missing,
}
