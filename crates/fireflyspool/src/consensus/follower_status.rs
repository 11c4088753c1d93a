//! Progress of a follower as its leader sees it.

use std::time;

use crate::ids;

/// Progress of one follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// Number of the VM.
    pub node: ids::NodeId,
    /// Last entry up to which its log is known to match the leader's.
    pub match_index: ids::LogIndex,
    /// Send time of the latest message that it acknowledged in this term, if there is one.
    pub acknowledged: Option<time::Instant>,
}
