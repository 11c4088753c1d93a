//! Sub-requests that the same backend servers can serve.

use crate::dispatch::{fleet, queue_key, waiting};
use crate::{backend, outcome, sorted};

/// What a sub-request needs from a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Target {
    /// Any backend server of the service.
    Any,
    /// A backend server that hosts the shard.
    Shard(backend::HostedShard),
}

/// Number of a target at this dispatcher.
pub(super) type TargetKey = usize;

pub(super) type Queue = sorted::SortedMap<queue_key::QueueKey, Box<waiting::Waiting>>;

/// Backend servers and queues of one target.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// Owned backend servers that can serve it.
    pub(super) servers: Vec<fleet::ServerKey>,
    /// One queue per kind, in the order of [`outcome::Kind::ALL`].
    pub(super) queues: [Queue; outcome::Kind::ALL.len()],
}

impl Group {
    pub(super) fn waiting(&self) -> usize {
        self.queues.iter().map(sorted::SortedMap::len).sum()
    }
}
