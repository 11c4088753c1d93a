//! Roster part of a grant.

use crate::roster;

/// Roster records that changed after the version of the request, or all records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Update {
    /// Version that the update leads to.
    pub version: roster::Version,
    /// Sequence of this term after which the changes start; 0 if the update is whole.
    pub base: u64,
    /// Whether all leases of earlier terms have expired at the leader.
    ///
    /// Only then do records missing from a whole update no longer exist, and do records
    /// without an owner have none.
    pub settled: bool,
    /// Changes of members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<roster::MemberChange>,
    /// Changes of backend servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<roster::ServerChange>,
    /// Changes of suspects.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<roster::SuspectChange>,
}
