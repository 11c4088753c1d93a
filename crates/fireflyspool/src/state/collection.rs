//! A searchable collection.

use crate::{ids, sorted};

/// Index versions of a collection and the services that read it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Collection {
    /// Number of shards of each index version in use.
    pub versions: sorted::SortedMap<ids::IndexVersion, u32>,
    /// Services that read it, ascending.
    pub services: Vec<ids::ServiceName>,
}
