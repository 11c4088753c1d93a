//! Random numbers that follow from one seed.

use std::time;

/// SplitMix64 generator; equal seeds give equal sequences.
#[derive(Clone)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Generator for another task, so that the timing of tasks does not change draws.
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

    /// Returns true with a probability of `percent`.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Draws a duration from `least` to `most` milliseconds, both included.
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
