//! Small random generator for the simulation.

/// SplitMix64 generator.
#[derive(Clone, Debug)]
pub(crate) struct Splitmix(pub(crate) u64);

impl Splitmix {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    pub(crate) fn percent(&mut self, percent: u8) -> bool {
        self.below(100) < u64::from(percent)
    }
}
