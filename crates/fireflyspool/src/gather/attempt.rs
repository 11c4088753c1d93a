//! Attempts without a result so far.

use std::time;

use crate::ids;

/// Sub-request for one shard that was sent and has no result yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) sub: ids::SubRequestId,
    pub(super) owner: ids::NodeId,
    pub(super) sent: time::Instant,
}
