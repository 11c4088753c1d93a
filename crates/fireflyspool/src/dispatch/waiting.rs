//! Accepted sub-request.

use std::time;

use crate::dispatch::target;
use crate::{dispatch, ids};

/// Coordinator, its incarnation and its number for a sub-request.
pub(super) type SubKey = (ids::NodeId, ids::Incarnation, ids::SubRequestId);

/// Sub-request that has not ended yet.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    /// What the coordinator handed over; servers that refused it are added to the excluded ones.
    pub(super) request: dispatch::SubRequest,
    pub(super) arrived: time::Instant,
    pub(super) deadline: time::Instant,
    pub(super) target: target::TargetKey,
    /// Number of the arrival; another one each time it is put back.
    pub(super) sequence: u64,
    /// Whether hedges go ahead of it.
    pub(super) behind_hedges: bool,
    /// Cause of the latest truthful refusal by a backend server.
    pub(super) refusal: Option<dispatch::SkipCause>,
}

impl Waiting {
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
