//! Snapshot on its way to a follower.

use crate::ids;

/// Part of a snapshot that was sent last.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    /// Last entry that the snapshot covers.
    pub(super) index: ids::LogIndex,
    /// Position of the part.
    pub(super) offset: u64,
    /// Send time; only the reply to this part moves the transfer on.
    pub(super) sent_us: u64,
}
