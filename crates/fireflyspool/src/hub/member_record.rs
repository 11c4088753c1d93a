//! Record of an entry VM in a batch.

use crate::hub;

/// Entry VM with the age of its last poll.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MemberRecord {
    /// The entry VM.
    pub member: hub::Member,
    /// Age of its last poll in milliseconds.
    pub age_ms: u64,
}
