//! Queue of waiting requests.

use std::time;

use crate::admission::waiting;
use crate::{ids, outcome};

/// Waiting requests, one list per kind, each ascending by deadline and ticket.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    kinds: [Vec<waiting::Waiting>; outcome::Kind::ALL.len()],
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.kinds.iter().map(Vec::len).sum()
    }

    pub(super) fn count(&self, kind: outcome::Kind) -> usize {
        self.kinds[kind.index()].len()
    }

    pub(super) fn push(&mut self, kind: outcome::Kind, waiting: waiting::Waiting) {
        let list = &mut self.kinds[kind.index()];
        let key = (waiting.deadline, waiting.ticket);
        let position = list.partition_point(|other| (other.deadline, other.ticket) < key);
        list.insert(position, waiting);
    }

    pub(super) fn first(&self, kind: outcome::Kind) -> Option<&waiting::Waiting> {
        self.kinds[kind.index()].first()
    }

    pub(super) fn first_mut(&mut self, kind: outcome::Kind) -> Option<&mut waiting::Waiting> {
        self.kinds[kind.index()].first_mut()
    }

    pub(super) fn pop_first(&mut self, kind: outcome::Kind) -> Option<waiting::Waiting> {
        let list = &mut self.kinds[kind.index()];
        (!list.is_empty()).then(|| list.remove(0))
    }

    /// Removes the request with the latest deadline.
    pub(super) fn pop_last(&mut self, kind: outcome::Kind) -> Option<waiting::Waiting> {
        self.kinds[kind.index()].pop()
    }

    pub(super) fn remove(&mut self, ticket: ids::Ticket) {
        for list in &mut self.kinds {
            list.retain(|waiting| waiting.ticket != ticket);
        }
    }

    /// Cost of the requests ahead of one of this kind and deadline: that of all more
    /// urgent kinds, and that of its own kind up to the same deadline.
    pub(super) fn cost_ahead(&self, kind: outcome::Kind, deadline: time::Instant) -> (u64, u64) {
        let cost = |waiting: &waiting::Waiting| u64::from(waiting.cost);
        let urgent = self.kinds[..kind.index()].iter().flatten().map(cost).sum();
        let own = self.kinds[kind.index()].iter();
        let own = own.take_while(|waiting| waiting.deadline <= deadline);
        (urgent, own.map(cost).sum())
    }
}
