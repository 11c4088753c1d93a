//! Summary of a replica.

use crate::{consensus, ids};

/// State of a replica for operators, logs and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Number of this replica.
    pub node: ids::NodeId,
    /// Current role.
    pub role: consensus::Role,
    /// Current term.
    pub term: ids::Term,
    /// Leader, if known.
    pub leader: Option<ids::NodeId>,
    /// Last entry of the log.
    pub last_index: ids::LogIndex,
    /// Last entry known to be committed; all entries up to it were emitted as actions.
    pub commit_index: ids::LogIndex,
    /// Last entry that the snapshot covers, 0 without one.
    pub snapshot_index: ids::LogIndex,
    /// Members according to the latest entry of the log that lists them.
    pub members: consensus::Members,
    /// Progress of the followers; empty unless this replica leads.
    pub followers: Vec<consensus::FollowerStatus>,
}
