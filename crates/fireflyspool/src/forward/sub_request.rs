//! The share of a request that goes to one service.

use crate::{forward, ids};

/// Request for one shard, with its typestate `S`.
#[derive(Debug)]
pub struct SubRequest<S> {
    pub(super) service: ids::ServiceName,
    pub(super) state: S,
}

impl SubRequest<forward::Answered> {
    /// Sub-request whose records are merged with those of others in the answer to a group.
    pub(super) fn merged(service: ids::ServiceName, signature: String) -> Self {
        let response = forward::Response {
            status: http::StatusCode::OK.as_u16(),
            headers: http::HeaderMap::new(),
            signature: Some(signature),
            body: bytes::Bytes::new(),
        };
        let state = forward::Answered { response };
        Self { service, state }
    }
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
                tried: self.state.tried,
                ran: self.state.ran > 0,
                crashed: self.state.crashed,
                skipped: self.state.skipped,
                failure,
            },
        }
    }
}
