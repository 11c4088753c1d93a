//! Transfer of a snapshot to a follower.

use crate::ids;

/// Chunk of a snapshot that was sent last.
#[derive(Clone, Copy, Debug)]
pub(super) struct SnapshotTransfer {
    /// Last entry that the snapshot covers.
    pub(super) index: ids::LogIndex,
    /// Offset of the chunk in bytes.
    pub(super) offset: u64,
    /// Send time; only the reply to this chunk continues the transfer.
    pub(super) sent_us: u64,
}
