//! 64-bit FNV-1a hash with the finalizer of SplitMix64.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Incremental hash of texts and numbers.
///
/// ```
/// use fireflyspool::hashing;
///
/// let one = hashing::StableHasher::new().text("a").text("bc").finish();
/// let two = hashing::StableHasher::new().text("ab").text("c").finish();
/// assert_ne!(one, two);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct StableHasher(u64);

impl Default for StableHasher {
    fn default() -> Self {
        Self(FNV_OFFSET_BASIS)
    }
}

impl StableHasher {
    /// Creates a hasher without input.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a text and its length, so that the boundary between two texts affects the hash.
    #[must_use]
    pub fn text(self, text: &str) -> Self {
        self.bytes(text.as_bytes())
    }

    /// Adds bytes and their number, like [`Self::text`].
    #[must_use]
    pub fn bytes(self, bytes: &[u8]) -> Self {
        let hashed = bytes.iter().copied().fold(self, Self::byte);
        hashed.number(bytes.len() as u64)
    }

    /// Adds the little-endian bytes of a number.
    #[must_use]
    pub fn number(self, number: u64) -> Self {
        number.to_le_bytes().into_iter().fold(self, Self::byte)
    }

    /// Hash of everything added.
    ///
    /// FNV-1a alone distributes short inputs poorly over the high bits, which
    /// rendezvous hashing compares first, so a finalizer mixes the result.
    pub fn finish(self) -> u64 {
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn byte(self, byte: u8) -> Self {
        Self((self.0 ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
    }
}
