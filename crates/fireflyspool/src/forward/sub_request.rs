//! The share of a request that goes to one service.

use crate::{forward, ids};

/// Request for one shard, with its typestate `S`.
#[derive(Debug)]
pub struct SubRequest<S> {
    pub(super) service: ids::ServiceName,
    pub(super) state: S,
}

impl SubRequest<forward::Pending> {
    pub(super) fn new(service: ids::ServiceName) -> Self {
        let state = forward::Pending::default();
        Self { service, state }
    }

    /// Stores the successful response.
    pub(super) fn complete(self, response: forward::Response) -> SubRequest<forward::Answered> {
        SubRequest {
            service: self.service,
            state: forward::Answered { response },
        }
    }

    /// Ends the sub-request without a successful response.
    pub(super) fn fail(self, failure: Option<forward::Response>) -> SubRequest<forward::Failed> {
        SubRequest {
            service: self.service,
            state: forward::Failed {
                ran: self.state.ran > 0,
                skipped: self.state.skipped,
                failure,
            },
        }
    }
}
