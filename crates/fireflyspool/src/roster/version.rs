//! Version of the roster.

use crate::ids;

/// Term of the leader and sequence of its latest change.
///
/// Sequences of different terms are unrelated, because every leader rebuilds its roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Version {
    /// Term of the leader.
    pub term: ids::Term,
    /// Sequence of the latest change in that term; 0 before the first.
    pub sequence: u64,
}
