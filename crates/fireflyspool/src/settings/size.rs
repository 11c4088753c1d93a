//! Byte sizes that are written with a unit.

use std::fmt;

const KIBIBYTE: u64 = 1024;
const MEBIBYTE: u64 = 1024 * KIBIBYTE;

/// Number of bytes; written in the largest unit that divides it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(u64);

impl Size {
    /// Creates a size from a number of bytes.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    pub const fn bytes(self) -> u64 {
        self.0
    }

    /// Parses a whole number followed by `B`, `KiB` or `MiB`; `None` if it is
    /// malformed, has another unit or overflows.
    pub fn parse(text: &str) -> Option<Self> {
        let units = [("KiB", KIBIBYTE), ("MiB", MEBIBYTE), ("B", 1)];
        let (digits, unit) = units
            .iter()
            .find_map(|(name, unit)| Some((text.strip_suffix(name)?, *unit)))?;
        let count: u64 = digits.trim().parse().ok()?;
        count.checked_mul(unit).map(Self)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            bytes if bytes > 0 && bytes % MEBIBYTE == 0 => write!(f, "{}MiB", bytes / MEBIBYTE),
            bytes if bytes > 0 && bytes % KIBIBYTE == 0 => write!(f, "{}KiB", bytes / KIBIBYTE),
            bytes => write!(f, "{bytes}B"),
        }
    }
}

impl serde::Serialize for Size {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
