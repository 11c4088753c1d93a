//! Answer of an entry VM that gathers a group of shards.

use crate::forward;

/// Merged records of shards of a [`forward::Group`], with the shards that they come from.
///
/// A group may get several answers; each shard is in one of them at most.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupAnswer {
    /// Position in the group and signature of each response in the answer.
    pub answered: Vec<(usize, String)>,
    /// Shards without a response so far.
    pub missing: Vec<forward::MissingShard>,
    /// Greatest records, greatest first.
    pub body: bytes::Bytes,
}
