//! Body of an operator's request.

use crate::{ids, rim};

/// Command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommandRequest {
    /// Name of the operator.
    pub operator: ids::OperatorName,
    /// Number of the command; not used by `show` statements.
    pub number: ids::CommandNumber,
    /// The statement.
    pub statement: String,
    /// What to wait for.
    #[serde(default)]
    pub wait: rim::CommandWait,
}
