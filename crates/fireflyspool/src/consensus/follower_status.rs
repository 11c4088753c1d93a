//! Progress of a follower as its leader sees it.

use std::time;

use crate::ids;

/// Progress of one follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// Number of the follower.
    pub node: ids::NodeId,
    /// The follower holds the leader's log up to here.
    pub match_index: ids::LogIndex,
    /// Send time of the latest message that it acknowledged in this term.
    pub acknowledged: Option<time::Instant>,
}
