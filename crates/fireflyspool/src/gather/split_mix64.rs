//! Random numbers derived from a seed.

/// SplitMix64 generator; decisions get their seed from the driver.
#[derive(Clone, Copy, Debug)]
pub(super) struct SplitMix64(pub(super) u64);

impl SplitMix64 {
    pub(super) fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}
