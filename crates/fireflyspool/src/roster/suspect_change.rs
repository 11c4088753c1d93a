//! Change of one suspect.

use crate::ids;

/// New number of deaths under a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SuspectChange {
    /// Number of this change.
    pub sequence: u64,
    /// Hash of the content of a request.
    pub fingerprint: ids::Fingerprint,
    /// Backend servers that died under it; 0 if it is no longer suspect.
    #[serde(rename = "deaths")]
    pub crashes: u32,
}
