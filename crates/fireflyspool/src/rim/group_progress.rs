//! Progress of a call of another entry VM for a group of shards.

use crate::{forward, rim};

/// What came of waiting for an answer.
pub enum GroupProgress {
    /// An answer after which others follow.
    Answered(forward::GroupAnswer, Box<rim::GroupCall<rim::Answering>>),
    /// The last answer, or none, and how the call ended.
    Ended(Option<forward::GroupAnswer>, forward::GroupEnd),
}

impl GroupProgress {
    /// End of a call without an answer.
    pub(super) fn failed(end: forward::GroupEnd) -> Self {
        Self::Ended(None, end)
    }
}
