//! Queues of one target.

use crate::dispatch::{fleet, queue_key};
use crate::{outcome, sorted};

pub(super) type Queue = sorted::SortedMap<queue_key::QueueKey, ()>;

/// Backend servers and queues of one target.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// Owned backend servers that can serve the target.
    pub(super) servers: Vec<fleet::ServerKey>,
    /// One queue per kind, in the order of [`outcome::Kind::ALL`].
    pub(super) queues: [Queue; outcome::Kind::ALL.len()],
}

impl Group {
    pub(super) fn waiting(&self) -> usize {
        self.queues.iter().map(sorted::SortedMap::len).sum()
    }
}
