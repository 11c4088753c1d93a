//! Hits that a stand-in returns and a checker expects.
//!
//! Both sides compute hits from collection, version, shard and text, so that
//! a checker recognizes a hit of another version, shard or request.

use fireflyspool::{ids, outcome};

/// Most hits that one shard holds for a text; every shard holds at least one,
/// so that a shard counted as covered without having been searched is noticed.
const MOST_HITS: u32 = 3;

fn hash(text: &str, salt: u32) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(salt);
    hasher.update(text.as_bytes());
    // CRC is linear; the multiplications spread differences over all bits.
    let mixed = (hasher.finalize() ^ salt).wrapping_mul(0x9E37_79B1);
    (mixed ^ (mixed >> 15)).wrapping_mul(0x85EB_CA6B)
}

/// All hits of one shard of a snapshot for a text, best first.
pub fn of_shard(
    snapshot: &outcome::Snapshot,
    shard: ids::ShardNumber,
    text: &str,
) -> Vec<outcome::Hit> {
    let place = format!("{}-v{}-s{shard}", snapshot.collection, snapshot.version);
    let seed = hash(text, hash(&place, 1));
    let mut hits: Vec<_> = (0..=seed % MOST_HITS)
        .map(|position| {
            let number = hash(text, seed.wrapping_add(position));
            outcome::Hit {
                id: format!("{place}-{number}"),
                // Millionths survive a JSON round trip exactly.
                score: f64::from(hash(&place, number) % 1_000_000) / 1e6,
                shard,
            }
        })
        .collect();
    sort(&mut hits);
    hits
}

/// Best hits of several shards of a snapshot for a text, best first.
pub fn merged(
    snapshot: &outcome::Snapshot,
    shards: &[ids::ShardNumber],
    text: &str,
    limit: usize,
) -> Vec<outcome::Hit> {
    let mut hits: Vec<_> = shards
        .iter()
        .flat_map(|shard| of_shard(snapshot, *shard, text))
        .collect();
    sort(&mut hits);
    hits.truncate(limit);
    hits
}

fn sort(hits: &mut [outcome::Hit]) {
    hits.sort_by(|left, right| {
        let by_score = right.score.total_cmp(&left.score);
        by_score.then_with(|| left.id.cmp(&right.id))
    });
}
