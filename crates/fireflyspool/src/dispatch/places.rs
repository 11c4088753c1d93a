//! Places of all accepted sub-requests.

use crate::dispatch::{place, waiting};
use crate::{ids, sorted};

/// Places by coordinator and sub-request number.
///
/// One map per coordinator, so that an insertion or removal moves few bytes.
#[derive(Debug, Default)]
pub(super) struct Places {
    coordinators: sorted::SortedMap<
        (ids::NodeId, ids::Incarnation),
        sorted::SortedMap<ids::SubRequestId, place::Place>,
    >,
}

impl Places {
    pub(super) fn get(&self, key: waiting::SubKey) -> Option<place::Place> {
        let subs = self.coordinators.get(&(key.0, key.1))?;
        subs.get(&key.2).copied()
    }

    pub(super) fn insert(&mut self, key: waiting::SubKey, place: place::Place) {
        let subs = self
            .coordinators
            .get_or_insert_with((key.0, key.1), sorted::SortedMap::new);
        subs.insert(key.2, place);
    }

    pub(super) fn remove(&mut self, key: waiting::SubKey) {
        if let Some(subs) = self.coordinators.get_mut(&(key.0, key.1)) {
            subs.remove(&key.2);
        }
    }

    /// Forgets coordinators without sub-requests.
    pub(super) fn prune(&mut self) {
        self.coordinators.retain(|_, subs| !subs.is_empty());
    }
}
