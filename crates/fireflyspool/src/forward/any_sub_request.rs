//! A sub-request in any state.

use crate::{forward, ids};

/// Sub-request whose state is known only at run time.
#[derive(Debug)]
pub(super) enum AnySubRequest {
    Pending(forward::SubRequest<forward::Pending>),
    Answered(forward::SubRequest<forward::Answered>),
    Failed(forward::SubRequest<forward::Failed>),
}

impl AnySubRequest {
    /// Moves the sub-request out and leaves an empty failed one in its place.
    pub(super) fn take(&mut self) -> Self {
        let state = forward::Failed {
            tried: Vec::new(),
            ran: false,
            crashed: false,
            skipped: false,
            failure: None,
        };
        let service = ids::ServiceName::new();
        std::mem::replace(self, Self::Failed(forward::SubRequest { service, state }))
    }

    /// Completes a pending sub-request; others stay as they are.
    pub(super) fn complete(self, response: forward::Response) -> Self {
        match self {
            Self::Pending(pending) => Self::Answered(pending.complete(response)),
            other => other,
        }
    }

    /// Replaces the sub-request, in whatever state, by its share of the answer to a group.
    pub(super) fn merge(self, signature: String) -> Self {
        let service = match self {
            Self::Pending(sub_request) => sub_request.service,
            Self::Answered(sub_request) => sub_request.service,
            Self::Failed(sub_request) => sub_request.service,
        };
        Self::Answered(forward::SubRequest::merged(service, signature))
    }

    /// Fails a pending sub-request; others stay as they are.
    pub(super) fn fail(self, failure: Option<forward::Response>) -> Self {
        match self {
            Self::Pending(pending) => Self::Failed(pending.fail(failure)),
            other => other,
        }
    }

    pub(super) fn service(&self) -> &ids::ServiceName {
        match self {
            Self::Pending(sub_request) => &sub_request.service,
            Self::Answered(sub_request) => &sub_request.service,
            Self::Failed(sub_request) => &sub_request.service,
        }
    }

    pub(super) fn pending_mut(&mut self) -> Option<&mut forward::SubRequest<forward::Pending>> {
        match self {
            Self::Pending(pending) => Some(pending),
            _ => None,
        }
    }
}
