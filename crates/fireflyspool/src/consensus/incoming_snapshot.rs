//! Snapshot that is being received.

use crate::ids;

/// Chunks of a snapshot received so far.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    pub(super) index: ids::LogIndex,
    pub(super) term: ids::Term,
    pub(super) bytes: Vec<u8>,
}
