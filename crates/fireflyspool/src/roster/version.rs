//! Position in the changes of the roster.

use crate::ids;

/// Term of the leader and number of its last change.
///
/// Sequences of different terms are not comparable: every leader builds its
/// roster anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Version {
    /// Term of the leader.
    pub term: ids::Term,
    /// Number of the change in that term.
    pub sequence: u64,
}
