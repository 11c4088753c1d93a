//! Random decisions of one seed.

use std::time;

/// SplitMix64; the same seed decides the same.
#[derive(Clone)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// A generator for another task, which does not depend on timing.
    pub(crate) fn fork(&mut self) -> Self {
        Self::new(self.next())
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    pub(crate) fn index(&mut self, length: usize) -> usize {
        let bound = u64::try_from(length).expect("a small length");
        usize::try_from(self.below(bound)).expect("below a small length")
    }

    /// True in `percent` of the calls.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// A time between these milliseconds.
    pub(crate) fn millis(&mut self, least: u64, most: u64) -> time::Duration {
        time::Duration::from_millis(least + self.below(most - least + 1))
    }

    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
