//! Change log of the roster.

use std::collections;

use crate::{ids, roster};

/// Numbers every change and keeps the key of the changed record.
///
/// A delta is read from the log, so its cost depends on the number of changes and
/// not on the size of the roster.
#[derive(Clone, Debug)]
pub(crate) struct ChangeLog {
    term: ids::Term,
    /// Sequence of the latest change; 0 before the first.
    last: u64,
    limit: usize,
    changes: collections::VecDeque<(u64, roster::RecordKey)>,
}

impl ChangeLog {
    /// An empty log that keeps at most `limit` changes.
    pub(super) fn new(term: ids::Term, limit: usize) -> Self {
        Self {
            term,
            last: 0,
            limit,
            changes: collections::VecDeque::new(),
        }
    }

    /// Appends a change and returns its sequence.
    pub(super) fn push(&mut self, key: roster::RecordKey) -> u64 {
        self.last += 1;
        self.changes.push_back((self.last, key));
        if self.changes.len() > self.limit {
            self.changes.pop_front();
        }
        self.last
    }

    /// Version of the latest change.
    pub(super) fn version(&self) -> roster::Version {
        roster::Version {
            term: self.term,
            sequence: self.last,
        }
    }

    /// Changes after a version; `None` if it is of another term or they are no longer all kept.
    pub(super) fn since(
        &self,
        version: roster::Version,
    ) -> Option<impl Iterator<Item = &(u64, roster::RecordKey)>> {
        let first = self
            .changes
            .front()
            .map_or(self.last + 1, |(sequence, _)| *sequence);
        let known = version.term == self.term
            && version.sequence <= self.last
            && first <= version.sequence + 1;
        let start = self
            .changes
            .partition_point(|(sequence, _)| *sequence <= version.sequence);
        known.then(|| self.changes.range(start..))
    }
}
