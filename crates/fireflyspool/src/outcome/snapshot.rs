//! Version of a collection that an answer comes from.

use crate::ids;

/// Collection and index version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// Collection that is searched.
    pub collection: ids::CollectionName,
    /// Version of its index.
    pub version: ids::IndexVersion,
}
