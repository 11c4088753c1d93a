//! Crashes under one content in messages between VMs.

use crate::{containment, ids};

/// Content with the crashes that a VM knows of.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Fingerprint of the content.
    #[serde(rename = "f")]
    pub content: ids::Fingerprint,
    /// The crashes, ascending.
    #[serde(rename = "c")]
    pub crashes: Vec<containment::Crash>,
    /// Age of the latest one that the sender learned of, in milliseconds.
    #[serde(rename = "h")]
    pub age_ms: u64,
}
