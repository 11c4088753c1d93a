//! Times at which something is due.

use std::{cmp, collections, time};

/// Stale times tolerated beyond twice the live ones before they are cleared.
const SLACK: usize = 64;

/// Heap of times; entries that no longer apply are left in it until they come up.
///
/// Nearly every timer is dropped before it is due, and removing it from the
/// middle of a sorted vector would cost more than all other work on it.
#[derive(Debug)]
pub(super) struct Timers<K> {
    heap: collections::BinaryHeap<cmp::Reverse<(time::Instant, K)>>,
}

impl<K: Ord> Default for Timers<K> {
    fn default() -> Self {
        Self {
            heap: collections::BinaryHeap::new(),
        }
    }
}

impl<K: Ord + Copy> Timers<K> {
    pub(super) fn push(&mut self, time: time::Instant, key: K) {
        self.heap.push(cmp::Reverse((time, key)));
    }

    /// Earliest entry; it applies if [`Self::tidy`] was called after the last change.
    pub(super) fn first(&self) -> Option<(time::Instant, K)> {
        self.heap.peek().map(|first| first.0)
    }

    /// Drops entries that no longer apply from the top, and all of them if they are too many.
    pub(super) fn tidy(&mut self, live: usize, applies: impl Fn(time::Instant, K) -> bool) {
        if self.heap.len() > live * 2 + SLACK {
            self.heap.retain(|entry| applies(entry.0.0, entry.0.1));
        }
        while let Some((time, key)) = self.first() {
            if applies(time, key) {
                return;
            }
            self.heap.pop();
        }
    }
}
