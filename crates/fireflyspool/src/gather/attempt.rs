//! A sub-request that is under way.

use std::time;

use crate::ids;

/// Attempt for one shard without an ending so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) sub: ids::SubRequestId,
    pub(super) owner: ids::NodeId,
    pub(super) sent: time::Instant,
}
