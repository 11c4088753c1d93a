//! Answer of an entry VM that gathers a group of shards.

use crate::forward;

/// Merged records of shards of a [`forward::Group`], with the shards that they come from.
///
/// A group may get several answers. The records of one cannot be told apart by shard, so an
/// answer is taken as a whole, and only if it names no shard that an earlier one has had.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupAnswer {
    /// Position in the group and signature of each response in the answer.
    pub answered: Vec<(usize, String)>,
    /// Shards without a response so far.
    pub missing: Vec<forward::MissingShard>,
    /// Greatest records, greatest first.
    pub body: bytes::Bytes,
}

impl GroupAnswer {
    /// Whether this can be an answer to a group of `shards` shards with up to `top_k` records:
    /// each shard is named once at most, and the records are whole, sorted and of a named shard.
    pub fn is_consistent(&self, shards: usize, top_k: usize) -> bool {
        let answered = self.answered.iter().map(|(position, _)| *position);
        let missing = self.missing.iter().map(|shard| shard.position);
        let mut positions: Vec<_> = answered.chain(missing).collect();
        positions.sort_unstable();
        let are_distinct = positions.windows(2).all(|pair| pair[0] < pair[1]);
        let in_range = positions.last().is_none_or(|position| *position < shards);
        let (records, rest) = self.body.as_chunks::<{ forward::RECORD_BYTES }>();
        are_distinct
            && in_range
            && rest.is_empty()
            && records.len() <= top_k
            && records.is_sorted_by(|greater, less| greater >= less)
            && (records.is_empty() || !self.answered.is_empty())
    }
}
