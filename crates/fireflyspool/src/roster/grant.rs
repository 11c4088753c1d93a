//! Grant of a lease.

use std::time;

use crate::{ids, roster};

/// Reply of the leader to a renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// Incarnation that asked.
    pub incarnation: ids::Incarnation,
    /// Number of the request.
    pub number: u64,
    /// Lease from the time at which the request was sent; zero if none is granted.
    ///
    /// None is granted to a process while another incarnation of its VM holds
    /// a lease, until it has shown that it read a reply.
    pub lease: time::Duration,
    /// Revision of the catalog that the holder must reach to use the lease.
    pub revision: ids::Revision,
    /// Difference of the catalog, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub catalog: Option<roster::CatalogUpdate>,
    /// Difference of the roster.
    pub roster: roster::Update,
}
