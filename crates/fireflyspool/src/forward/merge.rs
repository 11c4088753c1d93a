//! Merge of the records of several responses.

/// Length of one record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top_k` greatest records of all bodies, greatest first.
///
/// Records are compared byte by byte; duplicates are kept. Trailing bytes of a
/// body that are fewer than a record are ignored.
///
/// ```
/// use fireflyspool::forward;
///
/// let (low, high) = ([1_u8; 16], [2_u8; 16]);
/// let bodies = [low.as_slice(), high.as_slice()];
/// assert_eq!(forward::merge_top(bodies, 1), high);
/// ```
pub fn merge_top<'a>(bodies: impl IntoIterator<Item = &'a [u8]>, top_k: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = bodies
        .into_iter()
        .flat_map(|body| body.chunks_exact(RECORD_BYTES))
        .collect();
    if records.len() > top_k && top_k > 0 {
        records.select_nth_unstable_by(top_k - 1, |a, b| b.cmp(a));
    }
    records.truncate(top_k);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}
