//! Lease grant with catalog and roster updates.

use std::time;

use crate::{ids, roster};

/// Reply of the leader to a renewal request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// Incarnation of the process that sent the request.
    pub incarnation: ids::Incarnation,
    /// Number of the request.
    pub number: u64,
    /// Duration of the lease from the time at which the request was sent; zero if refused.
    ///
    /// While another incarnation of its VM holds a lease, a process is refused until its
    /// requests show that it has read a reply of this term.
    pub lease: time::Duration,
    /// Catalog revision that the holder must have applied to use the lease.
    pub revision: ids::Revision,
    /// Update of the catalog; `None` if the holder is up to date.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub catalog: Option<roster::CatalogUpdate>,
    /// Update of the roster.
    pub roster: roster::Update,
}
