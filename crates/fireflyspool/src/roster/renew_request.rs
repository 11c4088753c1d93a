//! Request to renew a lease.

use crate::{ids, roster, view};

/// Lease renewal that an entry VM sends to the leader about once a second.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RenewRequest {
    /// Sender.
    pub member: view::Member,
    /// Number of the request, ascending within one incarnation.
    pub number: u64,
    /// Catalog revision that the sender has published to its traffic threads.
    pub revision: ids::Revision,
    /// Version of the roster that the sender holds; `None` asks for the whole roster.
    pub roster: Option<roster::Version>,
    /// Whether the sender asks for the whole catalog, because it could not apply changes.
    #[serde(default, skip_serializing_if = "is_false")]
    pub whole_catalog: bool,
    /// Backend servers that the sender owns or, after a revocation, must still release, ascending.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub holds: Vec<ids::ServerName>,
    /// Announcements with unchanged content.
    #[serde(rename = "sightings", default, skip_serializing_if = "Vec::is_empty")]
    pub refreshes: Vec<roster::Refresh>,
    /// Announcements with changed content.
    #[serde(rename = "news", default, skip_serializing_if = "Vec::is_empty")]
    pub announcements: Vec<roster::ChangedAnnouncement>,
    /// Crashes that no leader has acknowledged yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<roster::Crash>,
    /// Suspects known from an earlier term with their crash counts, for a newly elected leader.
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
