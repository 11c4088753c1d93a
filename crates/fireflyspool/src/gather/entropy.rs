//! Random numbers derived from the one that is passed in.

/// Sequence of numbers from one seed (SplitMix64).
#[derive(Clone, Copy, Debug)]
pub(super) struct Entropy(pub(super) u64);

impl Entropy {
    pub(super) fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}
