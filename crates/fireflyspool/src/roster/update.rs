//! Part of a grant that brings the roster up to date.

use crate::roster;

/// Records that changed after the version of the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Update {
    /// Version that the update leads to.
    pub version: roster::Version,
    /// Sequence of this term that the update starts from; 0 means that it is whole.
    pub base: u64,
    /// Whether the leader knows all leases, so that what it does not name is gone.
    ///
    /// Before that a record without an owner says nothing about its owner.
    pub settled: bool,
    /// Changed members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<roster::MemberChange>,
    /// Changed backend servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<roster::ServerChange>,
    /// Changed suspects.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<roster::SuspectChange>,
}
