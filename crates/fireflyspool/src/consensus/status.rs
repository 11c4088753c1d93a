//! Summary of a replica.

use crate::{consensus, ids};

/// State of a replica for operators, logs and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Number of this replica.
    pub node: ids::NodeId,
    /// Role.
    pub role: consensus::Role,
    /// Current term.
    pub term: ids::Term,
    /// Leader, if known.
    pub leader: Option<ids::NodeId>,
    /// Last entry of the log.
    pub last_index: ids::LogIndex,
    /// Last entry known to be committed; all up to here are handed out to apply.
    pub commit_index: ids::LogIndex,
    /// Last entry that the snapshot covers, 0 without one.
    pub snapshot_index: ids::LogIndex,
    /// Members by the latest entry of the log.
    pub members: consensus::Members,
    /// Followers, on the leader only.
    pub followers: Vec<consensus::FollowerStatus>,
}
