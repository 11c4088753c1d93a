//! Shard of a delegated group.

/// Shard of a delegated group, with its index in the exchange while it may still be merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DelegatedShard {
    /// The other entry VM may have an attempt under way.
    Running(usize),
    /// The other entry VM sends nothing more; an answer of it may still be on its way.
    Ended(usize),
    /// Its records are among those of an answer that was merged.
    Merged,
}

impl DelegatedShard {
    /// Index of a shard whose delegated attempt has not ended.
    pub(super) fn running(self) -> Option<usize> {
        match self {
            Self::Running(index) => Some(index),
            Self::Ended(_) | Self::Merged => None,
        }
    }

    /// Index of a shard that no merged answer has had.
    pub(super) fn unmerged(self) -> Option<usize> {
        match self {
            Self::Running(index) | Self::Ended(index) => Some(index),
            Self::Merged => None,
        }
    }
}
