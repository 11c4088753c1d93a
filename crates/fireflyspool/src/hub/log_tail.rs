//! What the end of a replica's log says about configurations.

use crate::ids;

/// Highest configuration in the log of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LogTail {
    /// Node id of the replica.
    pub node: ids::NodeId,
    /// Checksum of the member list that the log ends with.
    pub members: u64,
    /// Highest version of a configuration in the log, committed or not; 0 if there is none.
    pub version: ids::ConfigVersion,
}
