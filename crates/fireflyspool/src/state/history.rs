//! Accepted changes, newest last.

use std::collections;

use crate::{ids, state};

/// Changes kept; an entry VM that is further behind gets the whole catalog.
pub const HISTORY_LIMIT: usize = 2_048;

/// The last accepted changes without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct History {
    records: collections::VecDeque<state::RevisionRecord>,
}

impl History {
    /// Adds the next change and drops the oldest beyond [`HISTORY_LIMIT`].
    pub(super) fn push(&mut self, record: state::RevisionRecord) {
        self.records.push_back(record);
        if self.records.len() > HISTORY_LIMIT {
            self.records.pop_front();
        }
    }

    /// Number of kept changes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no change is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Kept changes, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &state::RevisionRecord> {
        self.records.iter()
    }

    /// Changes after a revision, oldest first; `None` if some are no longer kept.
    pub fn since(
        &self,
        revision: ids::Revision,
    ) -> Option<impl Iterator<Item = &state::RevisionRecord>> {
        let next = revision + 1;
        let start = self
            .records
            .partition_point(|record| record.revision < next);
        let oldest = self.records.front().map_or(next, |record| record.revision);
        (oldest <= next).then(|| self.records.range(start..))
    }
}
