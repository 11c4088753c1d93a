//! States of all accepted sub-requests.

use crate::dispatch::{pending_sub, sub_state};
use crate::{ids, sorted};

/// States by coordinator and sub-request number.
///
/// One map per coordinator, so that an insertion or removal moves few bytes.
#[derive(Debug, Default)]
pub(super) struct SubStates {
    coordinators: sorted::SortedMap<
        (ids::NodeId, ids::Incarnation),
        sorted::SortedMap<ids::SubRequestId, sub_state::SubState>,
    >,
}

impl SubStates {
    pub(super) fn get(&self, key: pending_sub::SubKey) -> Option<sub_state::SubState> {
        let subs = self.coordinators.get(&(key.0, key.1))?;
        subs.get(&key.2).copied()
    }

    pub(super) fn insert(&mut self, key: pending_sub::SubKey, state: sub_state::SubState) {
        let subs = self
            .coordinators
            .get_or_insert_with((key.0, key.1), sorted::SortedMap::new);
        subs.insert(key.2, state);
    }

    pub(super) fn remove(&mut self, key: pending_sub::SubKey) {
        if let Some(subs) = self.coordinators.get_mut(&(key.0, key.1)) {
            subs.remove(&key.2);
        }
    }

    /// Removes coordinators without sub-requests.
    pub(super) fn prune(&mut self) {
        self.coordinators.retain(|_, subs| !subs.is_empty());
    }
}
