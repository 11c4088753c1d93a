//! One shard of a request.

use crate::{forward, ids};

/// Part of a request that goes to one service, in a state.
#[derive(Debug)]
pub struct Part<S> {
    pub(super) service: ids::ServiceName,
    pub(super) state: S,
}

impl Part<forward::Open> {
    pub(super) fn new(service: ids::ServiceName) -> Self {
        let state = forward::Open::default();
        Self { service, state }
    }

    /// Takes the answer.
    pub(super) fn fill(self, answer: forward::Answer) -> Part<forward::Filled> {
        Part {
            service: self.service,
            state: forward::Filled { answer },
        }
    }

    /// Gives up.
    pub(super) fn lose(self, failure: Option<forward::Answer>) -> Part<forward::Lost> {
        Part {
            service: self.service,
            state: forward::Lost {
                ran: self.state.ran > 0,
                skipped: self.state.skipped,
                failure,
            },
        }
    }
}
