//! Timers with lazy removal.

use std::{cmp, collections, time};

/// Entries that the heap may hold beyond twice the live ones before stale ones are removed.
const STALE_ALLOWANCE: usize = 64;

/// Heap of timers; stale entries stay in it until they reach the top.
///
/// Nearly every timer becomes stale before it is due, and its removal from the
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

    /// Earliest entry; it is live if [`Self::purge`] was called after the last change.
    pub(super) fn first(&self) -> Option<(time::Instant, K)> {
        self.heap.peek().map(|first| first.0)
    }

    /// Removes stale entries from the top, and all stale entries if there are too many.
    pub(super) fn purge(&mut self, live: usize, is_live: impl Fn(time::Instant, K) -> bool) {
        if self.heap.len() > live * 2 + STALE_ALLOWANCE {
            self.heap.retain(|entry| is_live(entry.0.0, entry.0.1));
        }
        while let Some((time, key)) = self.first() {
            if is_live(time, key) {
                return;
            }
            self.heap.pop();
        }
    }
}
