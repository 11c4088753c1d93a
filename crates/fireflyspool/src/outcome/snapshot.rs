//! Snapshot of a collection.

use crate::ids;

/// Collection at one index version; all hits of an answer come from one snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// Collection that was searched.
    pub collection: ids::CollectionName,
    /// Index version of the collection.
    pub version: ids::IndexVersion,
}
