//! Content of log entries.

use crate::consensus;

/// What a log entry carries.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// First entry of a leader's term; committing it commits all earlier entries.
    NoOp,
    /// Command for the state machine.
    Command(#[serde(with = "super::compact_bytes")] Vec<u8>),
    /// Member list, in force as soon as the entry is in the log.
    Members(consensus::Members),
}

impl Content {
    /// Approximate size in bytes, used to bound messages.
    pub(super) fn size(&self) -> usize {
        // Allowance for index, term and framing of an encoded entry.
        const ENTRY_OVERHEAD_BYTES: usize = 64;
        match self {
            Self::NoOp => ENTRY_OVERHEAD_BYTES,
            Self::Command(payload) => ENTRY_OVERHEAD_BYTES + payload.len(),
            Self::Members(members) => ENTRY_OVERHEAD_BYTES * (1 + members.len()),
        }
    }
}
