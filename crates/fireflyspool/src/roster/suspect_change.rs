//! Change of a suspect.

use crate::ids;

/// New number of crashes under a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SuspectChange {
    /// Sequence of this change.
    pub sequence: u64,
    /// Hash of the content of a request.
    pub fingerprint: ids::Fingerprint,
    /// Crashes of backend servers under it; 0 if it is no longer suspect.
    #[serde(rename = "deaths")]
    pub crashes: u32,
}
