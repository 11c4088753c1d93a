//! History of accepted changes.

use crate::{ids, state};

/// Accepted change with the operator who requested it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RevisionRecord {
    /// Revision that the change led to.
    pub revision: ids::Revision,
    /// Operator who requested it.
    pub operator: ids::OperatorName,
    /// Number that the operator gave to the command.
    pub number: ids::CommandNumber,
    /// Change of the catalog.
    pub change: state::Change,
}
