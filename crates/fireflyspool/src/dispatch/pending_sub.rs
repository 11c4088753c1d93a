//! Sub-request that waits or runs.

use std::time;

use crate::dispatch::target;
use crate::{dispatch, ids};

/// Coordinator, its incarnation, and the number of the sub-request there.
pub(super) type SubKey = (ids::NodeId, ids::Incarnation, ids::SubRequestId);

/// Sub-request that has not ended yet.
#[derive(Clone, Debug)]
pub(super) struct PendingSub {
    /// Sub-request as received, with the servers that did not run it added to `excluded`.
    pub(super) request: dispatch::SubRequest,
    pub(super) arrived: time::Instant,
    pub(super) deadline: time::Instant,
    pub(super) target: target::TargetKey,
    /// Number in order of arrival, renewed each time it is queued.
    pub(super) sequence: u64,
    /// Whether hedges go ahead of it in the queue.
    pub(super) behind_hedges: bool,
    /// Why the latest backend server did not run it; `None` before the first refusal.
    pub(super) refusal: Option<dispatch::SkipCause>,
}

impl PendingSub {
    pub(super) fn key(&self) -> SubKey {
        let request = &self.request;
        (request.coordinator, request.incarnation, request.sub)
    }

    pub(super) fn is_submission(&self) -> bool {
        matches!(self.request.work, dispatch::Work::Submit { .. })
    }

    pub(super) fn excludes(&self, server: &str) -> bool {
        self.request.excluded.iter().any(|name| name == server)
    }
}
