//! What a request asks for.

use std::time;

use fireflyspool::{backend, ids};

/// Content of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Search of one shard.
    Search(backend::SearchRequest),
    /// Non-idempotent request.
    Submit(backend::SubmitRequest),
}

impl Work {
    /// Attempt that the sender named.
    pub fn attempt(&self) -> ids::AttemptId {
        match self {
            Self::Search(request) => request.attempt,
            Self::Submit(request) => request.attempt,
        }
    }

    /// Text that may contain the crash marker.
    pub fn text(&self) -> &str {
        match self {
            Self::Search(request) => &request.text,
            Self::Submit(request) => &request.payload,
        }
    }

    /// Time left on arrival.
    pub fn time_left(&self) -> time::Duration {
        time::Duration::from_millis(match self {
            Self::Search(request) => request.deadline_ms,
            Self::Submit(request) => request.deadline_ms,
        })
    }

    /// Shard that must be hosted for a search.
    pub fn shard(&self) -> Option<backend::HostedShard> {
        match self {
            Self::Search(request) => Some(backend::HostedShard {
                collection: request.collection.clone(),
                version: request.version,
                shard: request.shard,
            }),
            Self::Submit(_) => None,
        }
    }
}
