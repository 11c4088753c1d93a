//! Log of the replica on a hub's own VM.

use crate::{hub, ids};

/// What a hub knows of the log on its own VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogState {
    /// End of the log.
    pub tail: hub::LogTail,
    /// Voters by the member list that the log ends with, ascending.
    pub voters: Vec<ids::NodeId>,
    /// Whether the replica is one of them in its present incarnation.
    pub votes: bool,
}
