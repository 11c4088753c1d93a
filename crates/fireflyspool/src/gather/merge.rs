//! Merging of the hits of several shards.

use std::cmp;

use crate::outcome;

/// At most `limit` best hits of all shards, best first. Equal scores are ordered by
/// document and shard, so that the same answers always merge to the same list.
pub(super) fn merge(shards: Vec<Vec<outcome::Hit>>, limit: u32) -> Vec<outcome::Hit> {
    let mut hits: Vec<outcome::Hit> = shards.into_iter().flatten().collect();
    let limit = limit as usize;
    if limit == 0 {
        return Vec::new();
    }
    if hits.len() > limit {
        hits.select_nth_unstable_by(limit - 1, order);
        hits.truncate(limit);
    }
    hits.sort_unstable_by(order);
    hits
}

fn order(left: &outcome::Hit, right: &outcome::Hit) -> cmp::Ordering {
    let by_score = right.score.total_cmp(&left.score);
    let by_id = left.id.cmp(&right.id);
    by_score.then(by_id).then(left.shard.cmp(&right.shard))
}
