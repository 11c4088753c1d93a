//! Renewal of a lease.

use crate::{ids, roster, view};

/// What an entry VM sends to the leader about once a second.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RenewRequest {
    /// The entry VM.
    pub member: view::Member,
    /// Grows with every request of one incarnation.
    pub number: u64,
    /// Revision of the catalog that is in force at the sender.
    pub revision: ids::Revision,
    /// Roster that the sender holds; `None` asks for the whole roster.
    pub roster: Option<roster::Version>,
    /// Whether the sender asks for the whole catalog, because changes did not fit.
    #[serde(default, skip_serializing_if = "is_false")]
    pub whole_catalog: bool,
    /// Backend servers to which the sender may hold connections, ascending.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub holds: Vec<ids::ServerName>,
    /// Announcements without a change.
    #[serde(rename = "sightings", default, skip_serializing_if = "Vec::is_empty")]
    pub refreshes: Vec<roster::Refresh>,
    /// Announcements with a change.
    #[serde(rename = "news", default, skip_serializing_if = "Vec::is_empty")]
    pub announcements: Vec<roster::ChangedAnnouncement>,
    /// Deaths that no leader has confirmed yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<roster::Crash>,
    /// Suspects known from an earlier term, for a leader that has just been elected.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<(ids::Fingerprint, u32)>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(value: &bool) -> bool {
    !*value
}
